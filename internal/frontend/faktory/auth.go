package faktory

import (
	"crypto/sha256"
	"encoding/hex"
)

// passwordHashRounds is how often a password is hashed, as HI announces it.
const passwordHashRounds = 1545

// HashPassword is the protocol's hash of a password, in hexadecimal: SHA-256 over password and salt, and over
// its own result again until it has been applied as many times as rounds says.
func HashPassword(password, salt string, rounds int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range rounds - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}
