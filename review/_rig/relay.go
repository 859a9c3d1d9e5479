//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// relayStream accepts connections at from and passes all bytes to and from a connection to to.
func relayStream(from, to string) error {
	listener, err := net.Listen("tcp4", from)
	if err != nil {
		return err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go passOn(client, to)
		}
	}()
	return nil
}

// passOn connects two sides until both have ended.
func passOn(client net.Conn, to string) {
	defer client.Close()
	server, err := net.Dial("tcp4", to)
	if err != nil {
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	copyTo := func(target, source net.Conn) {
		_, _ = io.Copy(target, source) // ends with either side
		if half, ok := target.(*net.TCPConn); ok {
			_ = half.CloseWrite() // fails if the side has ended
		}
	}
	both.Go(func() { copyTo(server, client) })
	both.Go(func() { copyTo(client, server) })
	both.Wait()
}

// relayDatagrams passes datagrams that arrive at from to to, and the replies back to their senders.
func relayDatagrams(from, to string) error {
	address, err := net.ResolveUDPAddr("udp4", from)
	if err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return err
	}
	listener, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	go func() {
		links := map[string]*net.UDPConn{}
		buffer := make([]byte, 64<<10)
		for {
			n, sender, err := listener.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			link := links[sender.String()]
			if link == nil {
				if link, err = net.DialUDP("udp4", nil, target); err != nil {
					continue
				}
				links[sender.String()] = link
				go passReplies(listener, link, sender)
			}
			_, _ = link.Write(buffer[:n]) // datagrams may be lost
		}
	}()
	return nil
}

func passReplies(listener, link *net.UDPConn, sender *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := link.Read(buffer)
		if err != nil {
			return
		}
		_, _ = listener.WriteToUDP(buffer[:n], sender) // datagrams may be lost
	}
}
