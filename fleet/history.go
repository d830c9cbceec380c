package fleet

import (
	"cmp"
	"slices"

	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// DefaultTicketHistory is the number of recent tickets kept for peers. At the design size of 4,700
	// tickets a day they cover about five hours.
	DefaultTicketHistory = 1024
	// DefaultTicketHistoryBytes bounds the size of these tickets in bytes: a sixteenth of the memory that
	// the control plane may use.
	DefaultTicketHistoryBytes = 8 << 20
)

// history holds recent tickets in number order and drops those with the smallest numbers when it exceeds limit or
// maxBytes.
type history struct {
	limit    int
	maxBytes int
	bytes    int
	tickets  []structs.Ticket
}

func newHistory(limit, maxBytes int) history {
	if limit <= 0 {
		limit = DefaultTicketHistory
	}
	if maxBytes <= 0 {
		maxBytes = DefaultTicketHistoryBytes
	}
	return history{limit: limit, maxBytes: maxBytes}
}

// ticketBytes returns the approximate memory of a ticket: that of its texts and specs.
func ticketBytes(t structs.Ticket) int {
	size := len(t.Title) + len(t.Author) + len(t.ID)
	for _, o := range t.Objects {
		size += len(o.Name) + len(o.Spec)
	}
	return size
}

// search returns the position at which a ticket with this number is or would be, and whether it is there.
func (h *history) search(number uint64) (int, bool) {
	return slices.BinarySearchFunc(h.tickets, number, func(t structs.Ticket, n uint64) int {
		return cmp.Compare(t.Number, n)
	})
}

func (h *history) add(t structs.Ticket) {
	i, found := h.search(t.Number)
	if found {
		return
	}
	h.tickets = slices.Insert(h.tickets, i, t)
	h.bytes += ticketBytes(t)
	drop := 0
	for len(h.tickets)-drop > h.limit || h.bytes > h.maxBytes {
		h.bytes -= ticketBytes(h.tickets[drop])
		drop++
	}
	h.tickets = slices.Delete(h.tickets, 0, drop)
}

func (h *history) after(number uint64, limit int) []structs.Ticket {
	i, found := h.search(number)
	if found {
		i++
	}
	end := min(len(h.tickets), i+max(limit, 0))
	return slices.Clone(h.tickets[i:end])
}

func (h *history) get(number uint64) (structs.Ticket, bool) {
	i, found := h.search(number)
	if !found {
		return structs.Ticket{}, false
	}
	return h.tickets[i], true
}
