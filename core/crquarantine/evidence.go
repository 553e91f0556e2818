package crquarantine

import (
	"slices"
	"time"
)

// Apply adds the evidence of another instance.
func (t *Table) Apply(now time.Time, e Evidence) {
	changed := false
	for _, a := range e.Answers {
		// Told back and forth, an answer would become later each time.
		if at, known := t.answered.Get(a.Part); known && a.At.Sub(at) < maxWayTime {
			continue
		}
		changed = t.addAnswer(now, a) || changed
	}
	for _, c := range e.Crashes {
		changed = t.addCrash(now, c) && t.matters(c) || changed
	}
	if changed {
		t.update(now)
	}
}

// Differs records that another instance has other quarantines, so that all evidence is
// told for a while.
func (t *Table) Differs(now time.Time) { t.repeatUntil = now.Add(newsTime) }

// News returns the evidence to tell other instances now, that of quarantines first and the
// newest first: what was learned lately, or all of it after Differs.
func (t *Table) News(now time.Time) Evidence {
	all := now.Before(t.repeatUntil)
	e := Evidence{Crashes: t.tell(func(c *crash) bool { return all || now.Sub(c.learned) < newsTime })}
	for _, a := range slices.Backward(t.news) {
		if len(e.Answers) < maxNewsAnswers && now.Sub(a.learned) < newsTime {
			e.Answers = append(e.Answers, a.Answer)
		}
	}
	e.Answers = append(e.Answers, t.answersFor(e.Crashes)...)
	return e
}

// All returns the evidence for an instance that has none, in the order of News.
func (t *Table) All() Evidence {
	crashes := t.tell(func(*crash) bool { return true })
	return Evidence{Crashes: crashes, Answers: t.answersFor(crashes)}
}

// tell returns as many of the wanted crashes as may be told at a time. Those from which a
// quarantine follows come first: the loss of a failure domain adds hundreds of others, and
// instances that were told only of these would not learn of the quarantine.
func (t *Table) tell(wanted func(*crash) bool) []Crash {
	var list []Crash
	parts := 0
	for _, quarantined := range []bool{true, false} {
		for _, c := range slices.Backward(t.crashes) {
			if len(list) >= maxNewsCrashes {
				return list
			}
			if parts+len(c.Parts) <= maxNewsParts && wanted(c) && c.supports == quarantined {
				list = append(list, c.Crash)
				parts += len(c.Parts)
			}
		}
	}
	return list
}

// answersFor returns the last answers of the services and parts of the given crashes, up to
// maxNewsAnswers.
func (t *Table) answersFor(crashes []Crash) []Answer {
	var list []Answer
	told := make(map[Part]bool)
	add := func(p Part) {
		if at, ok := t.answered.Get(p); ok && !told[p] && len(list) < maxNewsAnswers {
			told[p] = true
			list = append(list, Answer{p, at})
		}
	}
	for _, c := range crashes {
		add(c.Service)
	}
	for _, c := range crashes {
		for _, p := range c.Parts {
			add(p)
		}
	}
	return list
}

// addNews queues an answer for other instances.
func (t *Table) addNews(now time.Time, a Answer) {
	t.news = slices.DeleteFunc(t.news, func(o learnedAnswer) bool {
		return o.Part == a.Part || now.Sub(o.learned) >= newsTime
	})
	if len(t.news) >= maxPending {
		t.news = slices.Delete(t.news, 0, 1)
	}
	t.news = append(t.news, learnedAnswer{a, now})
}
