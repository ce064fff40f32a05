package steerer

import (
	"fmt"
	"strconv"
	"time"
)

func formatInt(n int) string              { return strconv.Itoa(n) }
func formatUint(n uint64) string          { return strconv.FormatUint(n, 10) }
func formatBool(b bool) string            { return strconv.FormatBool(b) }
func (t Tag) String() string              { return fmt.Sprintf("%08x", uint32(t)) }
func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
