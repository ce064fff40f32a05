package steerer

import (
	"fmt"
	"strconv"
	"time"
)

func itoa(n int) string             { return strconv.Itoa(n) }
func utoa(n uint64) string          { return strconv.FormatUint(n, 10) }
func btoa(b bool) string            { return strconv.FormatBool(b) }
func (t Tag) String() string        { return fmt.Sprintf("%08x", uint32(t)) }
func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
