package state

import "github.com/cespare/xxhash/v2"

// GroupOf returns the data group, from 1 to groups, that stores the records for a key
// of an account. The key is the idempotency key of a claim, the PinKey of a pin, or
// the request ID of a charge.
func GroupOf(account, key string, groups uint32) uint32 {
	return uint32(xxhash.Sum64String(account+"\x00"+key)%uint64(groups)) + 1
}

// PinKey returns the key of a pin for GroupOf: service, a zero byte and session.
func PinKey(service, session string) string { return service + "\x00" + session }
