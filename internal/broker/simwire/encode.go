package simwire

import (
	"encoding/json"
	"fmt"

	sq "saffronquay"
)

// rawAction has the fields of all types of action. Zero values and nil pointers are omitted.
type rawAction struct {
	Type     string  `json:"event_type"`
	Who      string  `json:"who,omitempty"`
	Txn      *int64  `json:"txn,omitempty"`
	AllowFor int64   `json:"allow_for_us,omitempty"`
	Server   string  `json:"server,omitempty"`
	Shot     *int    `json:"shot,omitempty"`
	Entire   *bool   `json:"entire,omitempty"`
	CoolDown int64   `json:"cool_down_us,omitempty"`
	TimerID  *int64  `json:"mark,omitempty"`
	TimerAt  *int64  `json:"alarm_time_us,omitempty"`
	Text     *string `json:"reason_text,omitempty"`
	Serial   *int64  `json:"serial,omitempty"`
	Target   any     `json:"target,omitempty"`
	Payload  *string `json:"payload,omitempty"`
}

// Encode appends the line for an action of the instance who to dst. It fails for an action that the
// protocol does not define.
func Encode(dst []byte, who string, a sq.Action) ([]byte, error) {
	r := rawAction{Who: who}
	id := func(v sq.ID) *int64 { n := int64(v); return &n }
	switch a := a.(type) {
	case sq.Send:
		r.Type, r.Txn, r.Server, r.AllowFor = "PassOn", id(a.Part), string(a.Server), a.Timeout
	case sq.Cancel:
		r.Type, r.Txn, r.Shot = "Abandon", id(a.Part), &a.Attempt
	case sq.Answer:
		r.Type, r.Txn, r.Entire = "GatherUp", id(a.Query), &a.Complete
	case sq.Refuse:
		r.Type, r.Txn, r.CoolDown = "TurnAway", id(a.Query), a.RetryAfter
	case sq.Fail:
		r.Type, r.Txn = "RespondError", id(a.Query)
	case sq.CloseIdle:
		r.Type, r.Server = "FreeLinks", string(a.Server)
	case sq.SetTimer:
		r.Type, r.TimerID, r.TimerAt = "SetAlarm", &a.ID, &a.At
	case sq.Watch:
		on := true
		r.Type, r.Entire = "KeepInformed", &on
	case sq.Fetch:
		r.Type = "GetList"
	case sq.NotifyPeer:
		var to any = a.Peer
		if a.Peer < 0 {
			to = "*"
		}
		r.Type, r.Target, r.Payload = "Share", to, &a.Text
	case sq.Log:
		r.Type, r.Text = "WriteLog", &a.Text
	default:
		return dst, fmt.Errorf("encode: action %T is not defined by the protocol", a)
	}
	return appendLine(dst, r)
}

// EncodeAck appends the line that ends the reply to the batch with this serial number.
func EncodeAck(dst []byte, serial int64) ([]byte, error) {
	return appendLine(dst, rawAction{Type: "Ack", Serial: &serial})
}

// appendLine appends an action as one line of JSON.
func appendLine(dst []byte, r rawAction) ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return dst, fmt.Errorf("encode %s: %w", r.Type, err)
	}
	return append(append(dst, b...), '\n'), nil
}
