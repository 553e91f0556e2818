package crctl

import (
	"context"
	"flag"
	"fmt"

	"crocusrack/io/crclient"
	pb "crocusrack/schema/crcaller"
)

func setupChat(p *Program, f *flag.FlagSet) action {
	r := addRequestFlags(f)
	r.addRunFlags(f)
	maxTokens := f.Uint("max-tokens", 0, "highest `number` of tokens; the fleet's default when 0")
	separator := f.String("separator", "", "`text` written after each token")
	return func(ctx context.Context, args []string) error {
		prompt, err := p.input(args[1])
		if err != nil {
			return err
		}
		client, err := p.client(r)
		if err != nil {
			return err
		}
		chat := crclient.Chat{
			Service: args[0], Key: r.chatKey, Prompt: prompt, MaxTokens: uint32(*maxTokens), Class: r.class,
		}
		if !r.asJSON {
			chat.OnTokens = func(tokens []string) { p.tokens(tokens, *separator) }
		}
		ctx, cancel := context.WithTimeout(ctx, r.deadline)
		defer cancel()
		return p.chatEnd(r, client.Chat(ctx, chat))
	}
}

func (p *Program) tokens(tokens []string, separator string) {
	for _, t := range tokens {
		fmt.Fprint(p.Stdout, t, separator)
	}
}

func (p *Program) chatEnd(r *requestFlags, a crclient.ChatAnswer) error {
	end := &pb.ChatEnd{
		Outcome: outcomeMessage(a.Outcome), TokenCount: uint32(len(a.Tokens)),
		PromptTokens: a.PromptTokens, CachedTokens: a.CachedTokens, Endpoint: a.Endpoint, Instance: a.Instance,
	}
	if r.asJSON {
		whole := &pb.ChatResponse{RequestId: a.RequestID, Attempt: a.Attempts, Tokens: a.Tokens, End: end}
		if err := p.json(whole); err != nil {
			return err
		}
		return outcomeError(a.Outcome)
	}
	fmt.Fprintln(p.Stdout)
	fmt.Fprintf(p.Stderr, "%s: %d tokens, %d of %d prompt tokens cached, endpoint %s, instance %s, attempt %d\n",
		outcomeText(a.Outcome), len(a.Tokens), a.CachedTokens, a.PromptTokens, a.Endpoint, a.Instance, a.Attempts)
	return outcomeError(a.Outcome)
}
