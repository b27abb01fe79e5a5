package faktory

import (
	"crypto/sha256"
	"encoding/hex"
)

// passwordHashRounds is the number of hash rounds that HI announces.
const passwordHashRounds = 1545

// HashPassword returns the protocol's hash of a password in hexadecimal: SHA-256 of the password followed by
// the salt, applied repeatedly to its own result, rounds times in total.
func HashPassword(password, salt string, rounds int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range rounds - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}
