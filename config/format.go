package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/hashicorp/hcl/v2/hclwrite"
)

// Format returns a file in its canonical layout: an indent of two spaces, aligned equal
// signs, at most one blank line in a row, and a final newline. Comments and meaning are
// preserved: the result is parsed again and compared with the input. Syntax errors are
// returned as a *Failure, with name as the file name.
func Format(data []byte, name string) ([]byte, error) {
	_, report := parseSyntax(data, name)
	if err := report.Err(); err != nil {
		return nil, err
	}
	out := data
	if !bytes.Contains(data, []byte("<<")) { // a heredoc is kept byte for byte
		out = bytes.ReplaceAll(out, []byte("\r\n"), []byte("\n"))
	}
	out = normalizeBlankLines(out, name)
	for range 4 {
		next := hclwrite.Format(out)
		if bytes.Equal(next, out) {
			break
		}
		out = next
	}
	again, _ := parseSyntax(out, name)
	if again == nil || !sameTokens(data, out, name) {
		return nil, fmt.Errorf("%s: %w", name, errMeaningChanged)
	}
	return out, nil
}

var errMeaningChanged = errors.New("formatting would change what the file means; it is left as it is")

// normalizeBlankLines reduces runs of blank lines to one, and removes them at the start and
// end of the file and just inside braces.
func normalizeBlankLines(data []byte, name string) []byte {
	tokens, diags := hclsyntax.LexConfig(data, name, hcl.InitialPos)
	if diags.HasErrors() {
		return data
	}
	var out bytes.Buffer
	offset, newlines, afterOpenBrace := 0, 2, true
	for _, t := range tokens {
		from, to := t.Range.Start.Byte, t.Range.End.Byte
		gap := data[offset:from]
		offset = to
		switch t.Type {
		case hclsyntax.TokenNewline:
			if newlines++; newlines > 2 || afterOpenBrace && newlines > 1 && out.Len() > 0 || out.Len() == 0 {
				continue
			}
			out.Write(bytes.TrimRight(gap, " \t"))
			out.Write(t.Bytes)
			continue
		case hclsyntax.TokenComment:
			out.Write(gap)
			text := t.Bytes
			endsLine := bytes.HasSuffix(text, []byte("\n"))
			out.Write(bytes.TrimRight(text, " \t\r\n"))
			if newlines = 0; endsLine {
				out.WriteByte('\n')
				newlines = 1
			}
			afterOpenBrace = false
			continue
		case hclsyntax.TokenEOF:
			out.Write(gap)
			continue
		case hclsyntax.TokenCBrace:
			if trimmed := bytes.TrimRight(out.Bytes(), "\n"); newlines > 1 && len(trimmed) < out.Len() {
				out.Truncate(len(trimmed))
				out.WriteByte('\n')
			}
		}
		out.Write(gap)
		out.Write(t.Bytes)
		newlines, afterOpenBrace = 0, t.Type == hclsyntax.TokenOBrace
	}
	text := bytes.TrimRight(out.Bytes(), " \t\n")
	if len(text) == 0 {
		return nil
	}
	return append(text, '\n')
}

// sameTokens reports whether two texts differ only in white space.
func sameTokens(a, b []byte, name string) bool {
	tokensA, tokensB := significantTokens(a, name), significantTokens(b, name)
	if len(tokensA) != len(tokensB) {
		return false
	}
	for i := range tokensA {
		if tokensA[i].Type != tokensB[i].Type || !bytes.Equal(tokenText(tokensA[i]), tokenText(tokensB[i])) {
			return false
		}
	}
	return true
}

func tokenText(t hclsyntax.Token) []byte {
	if t.Type == hclsyntax.TokenComment {
		return bytes.TrimRight(t.Bytes, " \t\r\n")
	}
	return t.Bytes
}

// significantTokens returns the tokens of a text without redundant newlines.
func significantTokens(data []byte, name string) []hclsyntax.Token {
	tokens, _ := hclsyntax.LexConfig(data, name, hcl.InitialPos)
	var all []hclsyntax.Token
	for _, t := range tokens {
		if t.Type == hclsyntax.TokenNewline {
			t.Bytes = []byte("\n")
			if n := len(all); n == 0 || all[n-1].Type == hclsyntax.TokenNewline || all[n-1].Type == hclsyntax.TokenOBrace ||
				all[n-1].Type == hclsyntax.TokenComment && bytes.HasSuffix(all[n-1].Bytes, []byte("\n")) {
				continue
			}
		}
		if t.Type == hclsyntax.TokenCBrace || t.Type == hclsyntax.TokenEOF {
			if n := len(all); n > 0 && all[n-1].Type == hclsyntax.TokenNewline {
				all = all[:n-1]
			}
		}
		all = append(all, t)
	}
	return all
}
