package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has received.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends one request on a new connection and reads the answer.
func send(address, method, path string, header [][2]string, body []byte, limit time.Duration) (*answer, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\n", method, path)
	host := false
	for _, h := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", h[0], h[1])
		host = host || strings.EqualFold(h[0], "Host")
	}
	if !host {
		fmt.Fprintf(&head, "Host: %s\r\n", address)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	head.Write(body)
	if _, err := conn.Write(head.Bytes()); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return &answer{response.StatusCode, response.Header, text}, err
}

// putConfiguration sends a configuration to the stewards until one acknowledges it.
func (d *deployment) putConfiguration(base, version int, document map[string]any) error {
	document["version"] = version
	text, err := json.Marshal(document)
	if err != nil {
		return err
	}
	next := 0
	return await(fmt.Sprintf("configuration %d acknowledged", version), 20*time.Second, func() error {
		m := d.class("core")[next%3]
		next++
		a, err := send(m.control(), "POST", "/api/Config.Replace", [][2]string{{"Base-Version", fmt.Sprint(base)}, {"Content-Type", "application/json"}}, text, 3*time.Second)
		if err != nil {
			return err
		}
		d.record.write("configuration", "version", version, "steward", m.name, "status", a.status)
		if a.status != 200 {
			return fmt.Errorf("status %d: %s", a.status, a.body)
		}
		return nil
	})
}

var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// nameVersion names a version of a model's weights, as a trainer does.
func (d *deployment) nameVersion(model string, version int) error {
	next := 0
	return await(fmt.Sprintf("version %d named", version), 20*time.Second, func() error {
		m := d.class("core")[next%3]
		next++
		a, err := send(m.control(), "POST", "/api/version-put", [][2]string{{"Content-Type", "application/json"}}, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version), 3*time.Second)
		if err != nil {
			return err
		}
		d.record.write("version named", "model", model, "version", version, "status", a.status)
		if a.status/100 != 2 {
			return fmt.Errorf("status %d: %s", a.status, a.body)
		}
		return nil
	})
}
