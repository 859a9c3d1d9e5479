package pagination

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
)

// seal returns the token of a cursor.
func (r *Registry) seal(c Cursor) string {
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
	return m.Sum(nil)[:sealSize]
}

// parse returns the cursor of a token with a valid seal. Errors: ErrInvalid, and ErrExpired for a token of another version.
func (r *Registry) parse(token string) (Cursor, error) {
	if len(token) > MaxToken {
		return Cursor{}, ErrInvalid
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < sealSize+1 || !hmac.Equal(r.mac(b[:len(b)-sealSize]), b[len(b)-sealSize:]) {
		return Cursor{}, ErrInvalid
	}
	if b = b[:len(b)-sealSize]; b[0] != version { // sealed with this key by an older or newer program
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
