package pagination

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
)

// encode returns the token of a cursor.
func (r *Registry) encode(c Cursor) string {
	b := []byte{version, byte(len(c.Tenant))}
	b = append(b, c.Tenant...)
	b = append(append(b, byte(len(c.Index))), c.Index...)
	for _, n := range []uint64{uint64(c.At), uint64(c.Until), c.Nonce} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return base64.RawURLEncoding.EncodeToString(append(b, r.mac(b)...))
}

func (r *Registry) mac(b []byte) []byte {
	m := hmac.New(sha256.New, r.cfg.Key)
	m.Write(b)
	return m.Sum(nil)[:macSize]
}

// parse verifies the MAC of a token and returns its cursor. Errors: ErrInvalid, and ErrExpired for
// a token of another version.
func (r *Registry) parse(token string) (Cursor, error) {
	if len(token) > MaxToken {
		return Cursor{}, ErrInvalid
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < macSize+1 || !hmac.Equal(r.mac(b[:len(b)-macSize]), b[len(b)-macSize:]) {
		return Cursor{}, ErrInvalid
	}
	if b = b[:len(b)-macSize]; b[0] != version { // issued with this key by another version of the program
		return Cursor{}, ErrExpired
	}
	b = b[1:]
	var c Cursor
	for _, name := range []*string{&c.Tenant, &c.Index} {
		n := int(b[0])
		*name, b = string(b[1:1+n]), b[1+n:]
	}
	c.At, c.Until, c.Nonce = int64(binary.BigEndian.Uint64(b)), int64(binary.BigEndian.Uint64(b[8:])), binary.BigEndian.Uint64(b[16:])
	return c, nil
}
