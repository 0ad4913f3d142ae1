package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// readAll reads the final response in a text and its body.
func readAll(text io.Reader, method string) (*http.Response, string, error) {
	response, err := ReadFinal(bufio.NewReaderSize(text, 16), method)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// All responses that HTTP/1.1 allows are read, however they arrive.
func TestSoundResponses(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for name, test := range map[string]struct {
		text, method, body string
		status             int
		length             int64
		close              bool
	}{
		"length":           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "GET", "body", 200, 4, false},
		"length, more":     {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1", "GET", "body", 200, 4, false},
		"leading zero":     {"HTTP/1.1 200 OK\r\nContent-Length: 04\r\n\r\nbody", "GET", "body", 200, 4, false},
		"empty":            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, false},
		"no length":        {"HTTP/1.1 200 OK\r\n\r\nbody", "GET", "body", 200, -1, true},
		"closes":           {"HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, true},
		"version 1.0":      {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, true},
		"1.0, kept alive":  {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, false},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;a=\"b\"\r\nbo\r\n002 \r\ndy\r\n0\r\n\r\n", "GET", "body", 200, -1, false},
		"long chunk":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + long + "\r\n0\r\n\r\n", "GET", long, 200, -1, false},
		"trailer":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: 1\r\n\r\n", "GET", "", 200, -1, false},
		"interim ones":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, false},
		"no reason":        {"HTTP/1.1 599 \r\nContent-Length: 0\r\n\r\n", "GET", "", 599, 0, false},
		"reason of others": {"HTTP/1.1 200 \xe9t\xe9\tx\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, false},
		"to HEAD":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "HEAD", "", 200, 4, false},
		"204":              {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "GET", "", 204, 0, false},
		"304":              {"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "GET", "", 304, 0, false},
		"long field":       {"HTTP/1.1 200 OK\r\nX-Long: " + long + "\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, false},
	} {
		for kind, from := range map[string]io.Reader{"at once": strings.NewReader(test.text),
			"in single bytes": iotest.OneByteReader(strings.NewReader(test.text)),
			"with its end":    iotest.DataErrReader(strings.NewReader(test.text))} {
			response, body, err := readAll(from, test.method)
			if err != nil {
				t.Errorf("%s, %s: %v", name, kind, err)
				continue
			}
			if response.StatusCode != test.status || body != test.body || response.ContentLength != test.length ||
				response.Close != test.close {
				t.Errorf("%s, %s: status %d, %q, length %d, close %v", name, kind, response.StatusCode, body,
					response.ContentLength, response.Close)
			}
		}
	}
}

// Names of fields are canonical, values are trimmed, and the order of values is kept.
func TestFields(t *testing.T) {
	response, _, err := readAll(strings.NewReader("HTTP/1.1 200 OK\r\nx-a: 1\r\nX-A:\t2 3 \t\r\nx-b:\r\n!#$%&'*+-.^_`|~9z: \"\xff\"\r\nContent-Length: 0\r\n\r\n"), "GET")
	if err != nil {
		t.Fatal(err)
	}
	if got := response.Header["X-A"]; len(got) != 2 || got[0] != "1" || got[1] != "2 3" {
		t.Errorf("X-A: %q", got)
	}
	if got, ok := response.Header["X-B"]; !ok || got[0] != "" {
		t.Errorf("X-B: %q", got)
	}
	if len(response.Header) != 4 {
		t.Errorf("fields %q", response.Header)
	}
}

// Responses that HTTP/1.1 forbids, for whatever part of them, are refused as such.
func TestForbiddenResponses(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\nbody"
	var texts []string
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK",
		"HTTP/1.1 -10 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200", "HTTP/1.1  200 OK",
		"HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/2.0 200 OK",
		"HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1. 200 OK", "http/1.1 200 OK", "HTTP/1.1", "ICY 200 OK", "", " HTTP/1.1 200 OK",
		"SSH-2.0-x", "HTTP/1.1 101 Switching Protocols"} {
		texts = append(texts, line+"\r\n"+rest)
	}
	for _, field := range []string{"X A: 1", "X-A : 1", "X-A\t: 1", " X-A: 1", "\tX-A: 1", ": 1", "X-A", "X-\x01A: 1", "X-\rA: 1",
		"X-\xe9: 1", "X(A): 1", "X-A: 1\x00", "X-A: 1\r2", "X-A: \x7f", "X-A: 1\r\n 2", "X-A: 1\nX-B: 2", "Content-Length: 4",
		"Content-Length : 2", "Transfer-Encoding: chunked", "Transfer-Encoding : chunked"} {
		texts = append(texts, "HTTP/1.1 200 OK\r\n"+field+"\r\n"+rest)
	}
	for _, length := range []string{"", "+4", "-1", "4, 4", "4;", "0x4", "4 4", "1_0", "99999999999999999999"} {
		texts = append(texts, "HTTP/1.1 200 OK\r\nContent-Length: "+length+"\r\n\r\nbody")
	}
	for _, encoding := range []string{"", "identity", "gzip, chunked", "chunked, chunked", "chunked\r\nTransfer-Encoding: chunked", "\x0bchunked", "chunked;a"} {
		texts = append(texts, "HTTP/1.1 200 OK\r\nTransfer-Encoding: "+encoding+"\r\n\r\n0\r\n\r\n")
	}
	for _, chunks := range []string{"\r\n", "x\r\n", "+4\r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n",
		"4\nbody\r\n0\r\n\r\n", "4\r\nbody\n0\r\n\r\n", "4\r\nbodyx\r\n0\r\n\r\n", "4\r\nbody0\r\n\r\n", "4;a\x00b\r\nbody\r\n0\r\n\r\n",
		"4;a\rb\r\nbody\r\n0\r\n\r\n", "ffffffffffffffff\r\nbody", "0000000000000004\r\nbody\r\n0\r\n\r\n", "0\r\nX A: 1\r\n\r\n",
		"0\r\nContent-Length: 4\r\n\r\n", "0\r\nX-A: 1\r\n b\r\n\r\n", "0\r\n\n"} {
		texts = append(texts, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
	}
	texts = append(texts,
		"HTTP/1.1 200 OK\n"+strings.ReplaceAll(rest, "\r\n", "\n"),
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"+rest,
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n"+rest,
		"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 2*maxLineBytes)+"\r\n"+rest)
	for _, text := range texts {
		_, body, err := readAll(strings.NewReader(text), "GET")
		var forbidden *ProtocolError
		if !errors.As(err, &forbidden) {
			t.Errorf("%.120q: body %q, %v, want a ProtocolError", text, body, err)
		}
	}
}

// A response that ends early never seems complete, wherever it ends.
func TestResponseThatEndsEarly(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nbo\r\n2\r\ndy\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		for end := range len(text) {
			if _, body, err := readAll(strings.NewReader(text[:end]), "GET"); err != io.ErrUnexpectedEOF {
				t.Errorf("%q: body %q, %v", text[:end], body, err)
			}
		}
	}
}

// The error that ended the connection is returned, and no further read returns another.
func TestErrorsOfTheConnection(t *testing.T) {
	broken := errors.New("broken")
	for _, text := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", "HTTP/1.1 200 OK\r\n\r\nbo",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nb", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"} {
		from := io.MultiReader(strings.NewReader(text), iotest.ErrReader(broken))
		if _, _, err := readAll(from, "GET"); !errors.Is(err, broken) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// FuzzRead checks that each response that is read means the same to net/http, which accepts more.
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length : 4\r\n\r\nbody",
		"HTTP/1.0 404 Not Found\r\nConnection: keep-alive\r\nX-A: 1\r\n 2\r\n\r\nbody",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Read(bufio.NewReader(bytes.NewReader(text)), "GET")
		if err != nil {
			return
		}
		want, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			t.Fatalf("net/http does not read %q: %v", text, err)
		}
		if got.StatusCode != want.StatusCode || got.ContentLength != want.ContentLength || got.Close != want.Close {
			t.Fatalf("%q: status %d, length %d, close %v; net/http: %d, %d, %v", text, got.StatusCode, got.ContentLength,
				got.Close, want.StatusCode, want.ContentLength, want.Close)
		}
		gotBody, gotErr := io.ReadAll(got.Body)
		wantBody, wantErr := io.ReadAll(want.Body)
		if gotErr == nil && (wantErr != nil || !bytes.Equal(gotBody, wantBody)) {
			t.Fatalf("%q: body %q; net/http: %q, %v", text, gotBody, wantBody, wantErr)
		}
	})
}
