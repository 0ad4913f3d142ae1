package grant

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

// Token is what a proxy carries from the grant to the message: the lease, the limiter that
// holds it, and its terms.
type Token struct {
	Limiter int
	Lease   ID
	Terms   Terms
	Until   time.Time // by the clock of the limiter that issued it
}

// Key is an HMAC key that signs and verifies tokens. Secrets have at least 16 bytes.
type Key struct {
	ID     string // letters, digits, - and _: up to 32
	Secret []byte
}

// Keys are the keys of a tier of limiters: the first one signs, all of them verify. To rotate
// keys, move a new key to the front once every limiter has it, and remove the old key once
// its tokens have expired.
type Keys []Key

// ErrToken reports a token that is malformed, was not signed with a known key, or has been
// modified.
var ErrToken = errors.New("grant: invalid token")

const (
	tokenVersion   = "v1"
	maxTokenBytes  = 256
	minSecretBytes = 16
)

// Check returns an error that names the first unusable key.
func (k Keys) Check() error {
	seen := map[string]bool{}
	for i, key := range k {
		switch {
		case key.ID == "" || len(key.ID) > 32 || strings.Trim(key.ID, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") != "":
			return fmt.Errorf("grant: key %d: %q is not a valid id; use up to 32 letters, digits, - and _", i+1, key.ID)
		case seen[key.ID]:
			return fmt.Errorf("grant: key %d: id %q is used twice", i+1, key.ID)
		case len(key.Secret) < minSecretBytes:
			return fmt.Errorf("grant: key %q: its secret has %d bytes, %d at least", key.ID, len(key.Secret), minSecretBytes)
		}
		seen[key.ID] = true
	}
	if len(k) == 0 {
		return errors.New("grant: no key")
	}
	return nil
}

// Sign returns the text form of a token: v1.KEY.BODY.MAC, the last two in unpadded base64url.
func (k Keys) Sign(t Token) string {
	body := make([]byte, 0, 64)
	body = append(body, t.Lease[:]...)
	body = binary.AppendUvarint(body, uint64(t.Limiter))
	body = binary.AppendUvarint(body, t.Terms.Account)
	body = binary.AppendUvarint(body, uint64(t.Terms.Plan))
	body = binary.AppendUvarint(body, uint64(t.Terms.Class))
	body = binary.AppendUvarint(body, math.Float64bits(t.Terms.Units))
	body = binary.AppendUvarint(body, uint64(t.Until.UnixMilli()))
	text := tokenVersion + "." + k[0].ID + "." + base64.RawURLEncoding.EncodeToString(body)
	return text + "." + base64.RawURLEncoding.EncodeToString(mac(k[0], text))
}

func mac(k Key, text string) []byte {
	m := hmac.New(sha256.New, k.Secret)
	m.Write([]byte(text))
	return m.Sum(nil)
}

// Verify parses and authenticates the text form of a token. It does not check the expiry.
func (k Keys) Verify(text string) (t Token, err error) {
	if len(text) > maxTokenBytes {
		return t, ErrToken
	}
	macStart := strings.LastIndexByte(text, '.')
	if macStart < 0 {
		return t, ErrToken
	}
	parts := strings.Split(text[:macStart], ".")
	if len(parts) != 3 || parts[0] != tokenVersion {
		return t, ErrToken
	}
	sum, err := base64.RawURLEncoding.Strict().DecodeString(text[macStart+1:])
	if err != nil {
		return t, ErrToken
	}
	authentic := false
	for _, key := range k {
		authentic = authentic || key.ID == parts[1] && hmac.Equal(sum, mac(key, text[:macStart]))
	}
	if !authentic {
		return t, ErrToken
	}
	body, err := base64.RawURLEncoding.Strict().DecodeString(parts[2])
	if err != nil || len(body) < len(t.Lease) {
		return t, ErrToken
	}
	copy(t.Lease[:], body)
	body = body[len(t.Lease):]
	next := func() uint64 {
		v, n := binary.Uvarint(body)
		if n <= 0 {
			err, body = ErrToken, nil
			return 0
		}
		body = body[n:]
		return v
	}
	limiter, account, plan, class, units, until := next(), next(), next(), next(), next(), next()
	if err != nil || len(body) > 0 || limiter > math.MaxInt32 || plan > math.MaxInt32 || class > math.MaxInt32 || until > 1<<52 {
		return t, ErrToken
	}
	t.Limiter, t.Until = int(limiter), time.UnixMilli(int64(until))
	t.Terms = Terms{Account: account, Plan: int(plan), Class: int(class), Units: math.Float64frombits(units)}
	return t, nil
}

// RedeemNotice is a notice from one limiter to another about leases of the receiver: their messages
// arrived at the sender, which has paid for them. If a notice is lost, the units return
// only when the lease expires.
type RedeemNotice struct{ Leases []ID }

// NoticeMagic is the first byte of a notice. It differs from the first byte of all messages
// between decision modules.
const NoticeMagic = 0x6d

const (
	noticeVersion = 1
	// MaxNoticeLeases is the number of leases that fit in one notice: a datagram has 256 bytes.
	MaxNoticeLeases = (256 - 2) / len(ID{})
)

// Encode returns the notice as a datagram with the first MaxNoticeLeases leases.
func (w RedeemNotice) Encode() []byte {
	b := []byte{NoticeMagic, noticeVersion}
	for _, id := range w.Leases[:min(len(w.Leases), MaxNoticeLeases)] {
		b = append(b, id[:]...)
	}
	return b
}

// DecodeNotice parses a notice; ok is false if any part of it is invalid.
func DecodeNotice(b []byte) (w RedeemNotice, ok bool) {
	if len(b) < 2 || len(b) > 256 || b[0] != NoticeMagic || b[1] != noticeVersion || (len(b)-2)%len(ID{}) != 0 {
		return RedeemNotice{}, false
	}
	for b = b[2:]; len(b) > 0; b = b[len(ID{}):] {
		w.Leases = append(w.Leases, ID(b[:len(ID{})]))
	}
	return w, true
}
