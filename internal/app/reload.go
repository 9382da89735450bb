package app

import (
	"log/slog"
	"os"
	"reflect"
	"sync"
	"time"

	"linenloom/internal/callers"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/internal/retune"
	"linenloom/logic"
)

// transitionTime is how long after SIGHUP clients may still use the previous configuration. They are
// informed of the new one after 1.2 s at the latest; what they sent before may still be in transit for a
// while.
const transitionTime = 1500 * time.Millisecond

// reloader applies the files' settings after SIGHUP.
type reloader struct {
	proxy         *proxy.Proxy
	extproc       Front
	authenticator *callers.Authenticator // nil means that callers are not identified
	log           *slog.Logger

	mu              sync.Mutex
	cfg             *config
	classes         []logic.Class // in force
	maxAttempts     int
	file            *operator.File
	transitionTimer *time.Timer // ends the time in which both configurations apply
	membership      *membership // is informed of changed settings
}

// reload applies the current configuration file and operator's file as far as a running proxy can. An
// invalid file changes nothing and does not prevent the other one from being applied.
func (r *reloader) reload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.reloadConfig(); err != nil {
		r.log.Error("reload failed, the old configuration stays in force", "err", err)
	}
	if r.file.Path != "" {
		r.reloadOperator()
	}
	if r.membership != nil {
		r.membership.updateVersion(r.cfg, r.file, r.log)
	}
}

func (r *reloader) reloadConfig() error {
	cfg, err := reloadConfig(os.Getenv, r.cfg.text)
	if err != nil {
		return err
	}
	next, err := cfg.proxyConfig()
	if err != nil {
		return err
	}
	if r.extproc != nil || r.authenticator != nil {
		if err := r.file.CheckClasses(logic.ClassNames(next.Settings.Classes)); err != nil {
			return err
		}
	}
	previous, err := r.cfg.proxyConfig()
	if err != nil {
		return err
	}
	if err := r.retune(next.Settings.Classes, next.Settings.MaxAttempts); err != nil {
		return err
	}
	unchanged := previous.Settings
	unchanged.Classes, unchanged.MaxAttempts = next.Settings.Classes, next.Settings.MaxAttempts
	if cfg.Listen != r.cfg.Listen || cfg.Mgmt != r.cfg.Mgmt || cfg.Limits != r.cfg.Limits || !reflect.DeepEqual(unchanged, next.Settings) {
		r.log.Warn("reload: changes of listen, mgmt, limits and settings other than classes and attempts need a restart")
	}
	r.cfg = cfg
	r.log.Info("reload", "discovery", cfg.Discovery, "classes", logic.ClassNames(next.Settings.Classes), "attempts", next.Settings.MaxAttempts)
	r.proxy.SetDiscoveryAddr(cfg.Discovery)
	return nil
}

// retune changes the classes in two steps: first to what both configurations allow, and to the new ones once
// no client uses the old ones.
func (r *reloader) retune(classes []logic.Class, maxAttempts int) error {
	both, minAttempts := retune.Transition(r.classes, classes, r.maxAttempts, maxAttempts)
	if err := r.apply(both, minAttempts); err != nil {
		return err
	}
	if r.transitionTimer != nil {
		r.transitionTimer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(transitionTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.transitionTimer != timer { // another configuration has been loaded in the meantime
			return
		}
		if err := r.apply(classes, maxAttempts); err != nil {
			r.log.Error("retune", "err", err)
		}
	})
	r.transitionTimer = timer
	return nil
}

func (r *reloader) apply(classes []logic.Class, maxAttempts int) error {
	if err := r.proxy.UpdateClasses(classes, maxAttempts); err != nil {
		return err
	}
	r.classes, r.maxAttempts = classes, maxAttempts
	if r.extproc != nil {
		return r.extproc.Reload(r.file)
	}
	return nil
}

func (r *reloader) reloadOperator() {
	next, err := operator.Load(r.file.Path)
	if err != nil {
		r.log.Error("reload failed, the operator's old file stays in force", "err", err)
		return
	}
	restart, live := r.file.Diff(next)
	if len(restart) > 0 {
		r.log.Warn("reload: the changed keys need a restart, the old values stay in force", "keys", restart)
		next.KeepRestartKeys(r.file)
	}
	if r.extproc != nil && len(live) > 0 {
		if err := r.extproc.Reload(next); err != nil {
			r.log.Error("reload failed, the operator's old file stays in force", "err", err)
			return
		}
	}
	if r.authenticator != nil {
		if err := next.CheckClasses(logic.ClassNames(r.classes)); err != nil {
			r.log.Error("reload failed, the operator's old file stays in force", "err", err)
			return
		}
		r.authenticator.Reload(next.Identity)
	}
	r.file = next
	r.log.Info("reload of the operator's file is complete", "changed", live)
}
