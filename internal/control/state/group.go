package state

import "github.com/cespare/xxhash/v2"

// GroupOf returns the data group, from 1 to groups, that a key of an account
// belongs to. The key is the idempotency key of a claim, the service, a zero
// byte and the session of a pin, and the request of a charge.
func GroupOf(account, key string, groups uint32) uint32 {
	return uint32(xxhash.Sum64String(account+"\x00"+key)%uint64(groups)) + 1
}

// PinKey returns the key of a pin for GroupOf.
func PinKey(service, session string) string { return service + "\x00" + session }
