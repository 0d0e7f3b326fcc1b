package entry

// This file defines what happens to a request whose granted target must not be used any more, because
// its failure domain was evacuated between the grant and the send.

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

// mustPlaceAgain reports whether a request gets another target, since the failure domain of the one that
// it was granted was evacuated before the send. That is no attempt: nothing of the request was sent,
// not even of a streamed body.
func (req *clientRequest) mustPlaceAgain(last attempt) bool {
	if last.outcome != notSent || !errors.Is(last.cause, targets.ErrEvacuated) || time.Until(req.endsAt()) < minTimeLeft {
		return false
	}
	req.h.cfg.Log.WithFields(logrus.Fields{fieldRequest: req.id, fieldTarget: last.grant.ID, "why": "evacuated", "granted-ms": last.elapsed.Milliseconds()}).Info("request is placed again: its target must not be used any more")
	return true
}
