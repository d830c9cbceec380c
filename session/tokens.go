package session

import "sync/atomic"

// tokensPerEpoch is the number of fencing tokens that an owner may use. It uses one for each session and for each restart of
// an executor.
const tokensPerEpoch = 1 << 20

// Tokens supplies the fencing tokens of an owner. Orders address an executor by its ID, which all its incarnations share. Each
// incarnation gets a new token, so that it rejects orders that were sent to an earlier one and arrive late.
type Tokens struct{ last atomic.Uint64 }

// NewTokens returns the tokens of the owner with an epoch. They are higher than all tokens of owners with a lower epoch.
func NewTokens(epoch uint64) *Tokens {
	t := &Tokens{}
	t.last.Store(epoch * tokensPerEpoch)
	return t
}

// next returns a token that is higher than all previous ones.
func (t *Tokens) next() uint64 { return t.last.Add(1) }
