// Package httpresponse reads HTTP/1.1 responses of servers. Unlike http.ReadResponse it accepts no response that RFC 9110
// or RFC 9112 forbids a server to send, because each reader of such a response may see another status, other fields or
// another end of the body in it.
//
// One sender's error is accepted: "Content-Length: 0" in a 204, which many servers send and which all readers delimit
// alike.
package httpresponse

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// ProtocolError is returned for a response that HTTP/1.1 forbids.
type ProtocolError struct{ Problem string }

func (e *ProtocolError) Error() string { return "malformed HTTP response: " + e.Problem }

func protocolErrorf(format string, args ...any) error {
	return &ProtocolError{fmt.Sprintf(format, args...)}
}

// Read reads the next response to a request of the given method. It may be an interim one (1xx), which has no body. The
// body of the response reads from in; it ends with io.EOF only if it is complete, or if the response has no length and
// ended with its connection, which only the caller can know to be in order. Trailer fields are checked and discarded. The
// caller limits the size of what in reads.
//
// ContentLength, TransferEncoding and Close are as http.ReadResponse sets them. Errors of in are returned as they are,
// with io.ErrUnexpectedEOF for an end within the response.
func Read(in *bufio.Reader, method string) (*http.Response, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	response, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	if response.Header, err = readFields(in); err != nil {
		return nil, err
	}
	if err := setBody(response, in, method); err != nil {
		return nil, err
	}
	return response, nil
}

// ReadFinal reads the final response to a request of the given method and skips interim ones before it. See Read.
func ReadFinal(in *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := Read(in, method)
		if err != nil || !IsInterim(response.StatusCode) {
			return response, err
		}
	}
}

// IsInterim reports whether a final response follows one with the given status.
func IsInterim(status int) bool { return status < minFinalStatus }

// EndsWithConnection reports whether a response has neither a length nor chunks, so that its body ends with its connection
// and seems complete wherever that is.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599

	statusDigits = 3
)

// parseStatusLine parses a status line (RFC 9112, section 4).
func parseStatusLine(line string) (*http.Response, error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return nil, protocolErrorf("version %q", version)
	}
	code, reason, ok := strings.Cut(rest, " ")
	if !ok || len(code) != statusDigits || !allBytes(code, isDigit) {
		return nil, protocolErrorf("status line %q", line)
	}
	if !allBytes(reason, isTextByte) {
		return nil, protocolErrorf("reason phrase %q", reason)
	}
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus {
		return nil, protocolErrorf("status code %q", code)
	}
	if status == http.StatusSwitchingProtocols {
		return nil, protocolErrorf("switches to a protocol that was not asked for")
	}
	return &http.Response{Status: rest, StatusCode: status, Proto: version, ProtoMajor: 1,
		ProtoMinor: int(minor[0] - '0')}, nil
}

// setBody finds out how long the body of a response is (RFC 9112, section 6.3) and sets it.
func setBody(response *http.Response, in *bufio.Reader, method string) error {
	length, err := contentLength(response.Header["Content-Length"])
	if err != nil {
		return err
	}
	chunked, err := isChunked(response.Header["Transfer-Encoding"])
	if err != nil {
		return err
	}
	if chunked && length >= 0 {
		return protocolErrorf("both Content-Length and Transfer-Encoding")
	}
	if chunked && response.ProtoMinor == 0 {
		return protocolErrorf("Transfer-Encoding in HTTP/1.0")
	}
	if err := checkBodyless(response.StatusCode, length, chunked); err != nil {
		return err
	}
	response.Close = closesConnection(response)
	response.ContentLength = length
	if chunked {
		response.TransferEncoding = []string{"chunked"}
	}
	switch {
	case method == http.MethodHead:
		response.Body = http.NoBody
	case hasNoBody(response.StatusCode):
		response.Body, response.ContentLength = http.NoBody, 0
	case chunked:
		response.Body = io.NopCloser(&chunkedBody{in: in})
	case length >= 0:
		response.Body = io.NopCloser(&fixedBody{in: in, remaining: length})
	default:
		response.Body, response.Close = io.NopCloser(in), true
	}
	return nil
}

// hasNoBody reports whether a response of the given status ends with its head.
func hasNoBody(status int) bool {
	return IsInterim(status) || status == http.StatusNoContent || status == http.StatusNotModified
}

// checkBodyless checks that a response that can't have a body does not announce one: a sender that does may also send it,
// and it would be read as the next response. length is -1 if there is none.
func checkBodyless(status int, length int64, chunked bool) error {
	switch {
	case IsInterim(status) && (chunked || length >= 0):
		return protocolErrorf("status %d with a body", status)
	case status == http.StatusNoContent && (chunked || length > 0):
		return protocolErrorf("status %d with a body", status)
	}
	return nil
}

// contentLength parses the values of Content-Length and returns -1 if there is none.
func contentLength(values []string) (int64, error) {
	if len(values) == 0 {
		return -1, nil
	}
	if len(values) > 1 {
		return 0, protocolErrorf("several fields Content-Length")
	}
	length, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || !allBytes(values[0], isDigit) {
		return 0, protocolErrorf("Content-Length %q", values[0])
	}
	return length, nil
}

// isChunked parses the values of Transfer-Encoding. No encoding but chunked is asked for.
func isChunked(values []string) (bool, error) {
	if len(values) == 0 {
		return false, nil
	}
	if len(values) > 1 || !strings.EqualFold(values[0], "chunked") {
		return false, protocolErrorf("Transfer-Encoding %q", values)
	}
	return true, nil
}

// closesConnection reports whether the server closes the connection after a response (RFC 9112, section 9.3).
func closesConnection(response *http.Response) bool {
	closes := response.ProtoMinor == 0
	for _, value := range response.Header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(strings.Trim(option, " \t")) {
			case "close":
				return true
			case "keep-alive":
				closes = false
			}
		}
	}
	return closes
}
