package wire

import (
	"unicode/utf8"
)

// maxShutdownText is the maximum length of the text of a shutdown message, in bytes (RFC 8203, section 2).
const maxShutdownText = 128

// Notification ends a session and gives the reason.
type Notification struct {
	Code    Code
	Subcode Subcode
	Data    []byte
}

// NewShutdown returns a Cease for an administrative shutdown. The text is cut to at most 128 bytes of valid UTF-8.
func NewShutdown(text string) *Notification {
	for len(text) > maxShutdownText || !utf8.ValidString(text) {
		text = text[:len(text)-1]
	}
	return &Notification{
		Code:    CodeCease,
		Subcode: SubcodeAdministrativeShutdown,
		Data:    append([]byte{byte(len(text))}, text...),
	}
}

// ShutdownText returns the text of an administrative shutdown or reset (RFC 8203), or "" if the text is missing or
// malformed.
func (n *Notification) ShutdownText() string {
	administrative := n.Subcode == SubcodeAdministrativeShutdown || n.Subcode == SubcodeAdministrativeReset
	if n.Code != CodeCease || !administrative || len(n.Data) == 0 {
		return ""
	}
	length, text := int(n.Data[0]), n.Data[1:]
	if length > maxShutdownText || length > len(text) || !utf8.Valid(text[:length]) {
		return ""
	}
	return string(text[:length])
}

func (*Notification) messageType() messageType { return typeNotification }

func (n *Notification) appendBody(b []byte) []byte {
	b = append(b, byte(n.Code), byte(n.Subcode))
	return append(b, n.Data...)
}

func decodeNotification(body []byte) *Notification {
	return &Notification{Code: Code(body[0]), Subcode: Subcode(body[1]), Data: append([]byte(nil), body[2:]...)}
}
