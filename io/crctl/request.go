package crctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"crocusrack/io/crclient"
	pb "crocusrack/schema/crcaller"
)

const (
	// defaultDeadline is the time that a request may take.
	defaultDeadline = time.Minute
	// fromStdin stands for a body or prompt on standard input.
	fromStdin = "-"
)

// requestFlags are those that all requests of callers have.
type requestFlags struct {
	account, chatKey, domain, class string
	deadline                        time.Duration
	asJSON                          bool
}

func addRequestFlags(f *flag.FlagSet) *requestFlags {
	r := &requestFlags{}
	f.StringVar(&r.account, "client-account", "", "`name` of the client account")
	f.StringVar(&r.chatKey, "chat-key", "", "`key` of the chat; requests with the same key find their context")
	f.StringVar(&r.domain, "failure-domain", "", "`name` of the caller's failure domain")
	f.BoolVar(&r.asJSON, "json", false, "write JSON")
	return r
}

// addRunFlags adds those of requests that run.
func (r *requestFlags) addRunFlags(f *flag.FlagSet) {
	f.StringVar(&r.class, "class", "", "`class` of work: interactive, standard or batch; the service's when empty")
	f.DurationVar(&r.deadline, "deadline", defaultDeadline, "time that the request may take")
}

// client returns a callers' client with the flags' account.
func (p *Program) client(r *requestFlags) (*crclient.Client, error) {
	client, err := p.connection.client()
	if err != nil {
		return nil, err
	}
	client.Account, client.FailureDomain = r.account, r.domain
	client.AddressTimeout = p.timeout
	client.Jitter = p.Jitter
	return client, nil
}

// addresses asks the instance at -caller. A refusal is an error.
func (p *Program) addresses(ctx context.Context, r *requestFlags, service string, notRepeatable bool) (*pb.AddressResponse, error) {
	client, err := p.connection.callers()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	response, err := client.Address(ctx, connect.NewRequest(&pb.AddressRequest{
		Service: service, ClientAccount: r.account, ChatKey: r.chatKey,
		FailureDomain: r.domain, NotRepeatable: notRepeatable,
	}))
	if err != nil {
		return nil, readError(err)
	}
	if refusal := response.Msg.GetRefusal(); refusal != nil {
		return nil, outcomeError(outcomeOf(refusal))
	}
	if len(response.Msg.GetAddresses()) == 0 {
		return nil, failf(Refused, "the instance named no address")
	}
	return response.Msg, nil
}

func setupAddress(p *Program, f *flag.FlagSet) action {
	r := addRequestFlags(f)
	notRepeatable := f.Bool("not-repeatable", false, "ask for an execution token")
	return func(ctx context.Context, args []string) error {
		response, err := p.addresses(ctx, r, args[0], *notRepeatable)
		if err != nil {
			return err
		}
		if r.asJSON {
			return p.json(response)
		}
		for _, a := range response.GetAddresses() {
			fmt.Fprintf(p.Stdout, "%s  %s  %s\n", a.GetAddress(), a.GetInstance(), a.GetFailureDomain())
		}
		fmt.Fprintf(p.Stdout, "expires at %s\n", response.GetExpiresAt().AsTime().Format(time.RFC3339))
		if token := response.GetExecutionToken(); token != "" {
			fmt.Fprintf(p.Stdout, "execution token %s\n", token)
		}
		return nil
	}
}

func setupCall(p *Program, f *flag.FlagSet) action {
	r := addRequestFlags(f)
	r.addRunFlags(f)
	notRepeatable := f.Bool("not-repeatable", false, "run at most once, with an execution token")
	return func(ctx context.Context, args []string) error {
		body, err := p.input(strings.Join(args[2:], ""))
		if err != nil {
			return err
		}
		client, err := p.client(r)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, r.deadline)
		defer cancel()
		answer := client.Call(ctx, crclient.Call{
			Service: args[0], Method: args[1], Body: []byte(body), NotRepeatable: *notRepeatable, Key: r.chatKey, Class: r.class,
		})
		return p.callEnd(r, answer)
	}
}

func (p *Program) callEnd(r *requestFlags, a crclient.CallAnswer) error {
	if r.asJSON {
		whole := &pb.CallResponse{
			RequestId: a.RequestID, Attempt: a.Attempts, Outcome: outcomeMessage(a.Outcome), Body: a.Body,
			BodyNotKept: a.BodyNotKept, Endpoint: a.Endpoint, Instance: a.Instance,
		}
		if err := p.json(whole); err != nil {
			return err
		}
		return outcomeError(a.Outcome)
	}
	if err := p.body(a.Body, a.BodyNotKept); err != nil {
		return err
	}
	if a.Unknown() {
		fmt.Fprintf(p.Stderr, "request id %s\n", a.RequestID)
	}
	return outcomeError(a.Outcome)
}

// body writes the body of an answer, or says that there is none any more.
func (p *Program) body(body []byte, notKept bool) error {
	if notKept {
		fmt.Fprintln(p.Stderr, "the request was answered before; its body isn't kept")
	}
	_, err := p.Stdout.Write(body)
	return err
}

// input returns the text, or what stands on standard input.
func (p *Program) input(text string) (string, error) {
	if text != fromStdin {
		return text, nil
	}
	data, err := io.ReadAll(p.Stdin)
	if err != nil {
		return "", failf(Usage, "read standard input: %w", err)
	}
	return string(data), nil
}
