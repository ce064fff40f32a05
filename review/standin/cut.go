package main

import (
	"net"
	"syscall"
)

// cutOff lets nothing pass between the backend and the hosts, in either direction and without a
// sign: datagrams are dropped, and the queue of new connections is full.
func (b *backend) cutOff() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isCut = true
	_ = b.tcp.Close()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	b.fullQueue = fd
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	address := &syscall.SockaddrInet4{Port: int(b.address.Port()), Addr: b.address.Addr().As4()}
	if err := syscall.Bind(fd, address); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	conn, err := net.Dial("tcp4", b.address.String()) // It fills the queue.
	if err != nil {
		return err
	}
	b.filler = conn
	b.record.printf("backend %s is cut off from all hosts", b.id)
	return nil
}

// reconnect ends cutOff.
func (b *backend) reconnect() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.filler.Close()
	if err := syscall.Close(b.fullQueue); err != nil {
		return err
	}
	if err := b.listenHealth(); err != nil {
		return err
	}
	b.isCut = false
	b.record.printf("backend %s is reached again", b.id)
	return nil
}
