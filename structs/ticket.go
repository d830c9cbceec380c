package structs

import "encoding/json"

// Object is the stored form of a declared object under object/<kind>/<name>.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Number is that of the ticket that last wrote the object.
	Number  uint64 `json:"number"`
	Author  string `json:"author"`
	Deleted bool   `json:"deleted,omitempty"`
	// Spec is the JSON form of the type that belongs to Kind; empty if deleted.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// TicketObject is the whole new state of one object that a ticket writes.
type TicketObject struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base is the number of the ticket that had last written the object when the operator read it; 0 if the object is new.
	Base   uint64          `json:"base"`
	Delete bool            `json:"delete,omitempty"`
	Spec   json.RawMessage `json:"spec,omitempty"`
}

// Ticket is a change ticket: a numbered change of declared objects that is accepted or rejected as a whole.
type Ticket struct {
	// Number is assigned when the ticket is accepted; numbers start at 1 and have no gaps.
	Number uint64 `json:"number"`
	// ID identifies the submission, so that a repeated submission is recognized.
	ID     string `json:"id"`
	Title  string `json:"title"`
	Author string `json:"author"`
	// AcceptedUnixMS is the wall-clock time of acceptance in milliseconds.
	AcceptedUnixMS int64          `json:"accepted_unix_ms"`
	Objects        []TicketObject `json:"objects"`
}
