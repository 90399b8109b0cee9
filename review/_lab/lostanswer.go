package main

import (
	"errors"
	"fmt"
	"net"
	"time"
)

var errNoAnswer = errors.New("the API has not answered")

// postLosingAnswer sends a POST to the API whose answer is lost: the connection is cut when the answer begins to arrive.
func (c *cluster) postLosingAnswer(path, key, body string) error {
	conn, err := net.DialTimeout("tcp", c.api, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", path, c.api, key, len(body), body)
	c.printf("api: POST %s, key %s: %s", path, key, body)
	if _, err := conn.Write([]byte(request)); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	if n, err := conn.Read(make([]byte, 1)); n == 0 {
		return errors.Join(errNoAnswer, err)
	}
	c.printf("api: the answer is cut off on its way, the client has read nothing of it")
	return nil
}
