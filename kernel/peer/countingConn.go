package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	controlBytesRead    = metrics.GetOrCreateCounter(`coltsfootline_control_bytes_total{direction="read"}`)
	controlBytesWritten = metrics.GetOrCreateCounter(`coltsfootline_control_bytes_total{direction="written"}`)
)

// countingConn counts the bytes read from and written to a control connection, without TCP and IP headers.
type countingConn struct {
	net.Conn
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	controlBytesRead.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	controlBytesWritten.Add(n)
	return n, err
}
