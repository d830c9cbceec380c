package workload

import "crypto/sha256"

// maxKeyBytes is the maximum length of an API key.
const maxKeyBytes = 256

// KeyDigest is the SHA-256 digest of an API key. Only digests are kept, so that keys cannot leak into logs, and the time that
// a lookup by digest takes reveals nothing about the valid keys.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. ok is false if the key is empty or longer than maxKeyBytes.
func DigestKey(key string) (d KeyDigest, ok bool) {
	if key == "" || len(key) > maxKeyBytes {
		return d, false
	}
	return sha256.Sum256([]byte(key)), true
}

// Organisation is a group of callers that share API keys and limits.
type Organisation struct {
	Name string
	Keys []KeyDigest
	// Weight is the share of the organisation, in jobs per second, while capacity does not suffice for all.
	Weight float64
	// Cap bounds the resources that its running tasks take on all executors together. A resource with the value 0 is not bounded.
	Cap Resources
}

// OrganisationByName returns the organisation with the given name, or nil.
func (c *Configuration) OrganisationByName(name string) *Organisation {
	for i := range c.Organisations {
		if c.Organisations[i].Name == name {
			return &c.Organisations[i]
		}
	}
	return nil
}
