package peer

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/fleet"
	v1 "github.com/tamarackworks/tamarackworks/internal/gen/fleet/v1"
	"github.com/tamarackworks/tamarackworks/structs"
	"github.com/tamarackworks/tamarackworks/ticket"
)

// encodeTickets returns a row for each ticket. The value of a row is the ticket as JSON.
func encodeTickets(tickets []structs.Ticket) []*v1.Row {
	rows := make([]*v1.Row, 0, len(tickets))
	for _, t := range tickets {
		data, err := json.Marshal(t)
		if err != nil {
			// Cannot happen: only a spec that is not JSON fails to encode, and tickets with one are not accepted.
			continue
		}
		rows = append(rows, &v1.Row{Key: ticket.NumberKey(t.Number), Value: data, Number: t.Number})
	}
	return rows
}

// decodeTickets is the inverse of encodeTickets. It rejects a ticket whose number is 0 or differs from that of its row.
func decodeTickets(rows []*v1.Row) ([]structs.Ticket, error) {
	tickets := make([]structs.Ticket, 0, len(rows))
	for _, row := range rows {
		var t structs.Ticket
		if err := json.Unmarshal(row.Value, &t); err != nil {
			return nil, errors.Wrap(err, "decode ticket")
		}
		if t.Number != row.Number || t.Number == 0 {
			return nil, errors.Errorf("ticket number %d does not match row number %d", t.Number, row.Number)
		}
		tickets = append(tickets, t)
	}
	return tickets, nil
}

func toRow(r fleet.Row) *v1.Row {
	return &v1.Row{Key: r.Key, Value: r.Value, Number: r.Number, Deleted: r.Deleted}
}

func toRows(rows []fleet.Row) []*v1.Row {
	out := make([]*v1.Row, len(rows))
	for i, r := range rows {
		out[i] = toRow(r)
	}
	return out
}

func fromRows(rows []*v1.Row) []fleet.Row {
	out := make([]fleet.Row, len(rows))
	for i, r := range rows {
		out[i] = fleet.Row{Key: r.Key, Value: r.Value, Number: r.Number, Deleted: r.Deleted}
	}
	return out
}
