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

// bothFor is how long after SIGHUP clients may still go by the configuration before. They are told of the new one after
// 1.2 s at the latest; what they have sent by then may be on its way for a while.
const bothFor = 1500 * time.Millisecond

// reloader takes over what the files say after SIGHUP.
type reloader struct {
	p       *proxy.Proxy
	extproc Front
	gate    *callers.Gate // nil: callers are not proven
	log     *slog.Logger

	mu      sync.Mutex
	cfg     *config
	classes []logic.Class // in force
	tries   int
	file    *operator.File
	settle  *time.Timer // ends the time in which both configurations hold
	others  *fleet      // told of other settings
}

// reload takes over what the configuration file and the operator's file say now, as far as a running proxy can. A
// file that can't be used changes nothing, and does not keep the other from being taken over.
func (r *reloader) reload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.reloadConfig(); err != nil {
		r.log.Error("reload failed, the old configuration stays in force", "err", err)
	}
	if r.file.Path != "" {
		r.reloadOperator()
	}
	if r.others != nil {
		r.others.reloaded(r.cfg, r.file, r.log)
	}
}

func (r *reloader) reloadConfig() error {
	cfg, err := reloadConfig(os.Getenv, r.cfg.text)
	if err != nil {
		return err
	}
	now, err := cfg.proxy()
	if err != nil {
		return err
	}
	if r.extproc != nil || r.gate != nil {
		if err := r.file.CheckClasses(logic.ClassNames(now.Settings.Classes)); err != nil {
			return err
		}
	}
	was, err := r.cfg.proxy()
	if err != nil {
		return err
	}
	if err := r.retune(now.Settings.Classes, now.Settings.MaxAttempts); err != nil {
		return err
	}
	fixed := was.Settings
	fixed.Classes, fixed.MaxAttempts = now.Settings.Classes, now.Settings.MaxAttempts
	if cfg.Listen != r.cfg.Listen || cfg.Mgmt != r.cfg.Mgmt || cfg.Limits != r.cfg.Limits || !reflect.DeepEqual(fixed, now.Settings) {
		r.log.Warn("reload: changes of listen, mgmt, limits and settings other than classes and attempts need a restart")
	}
	r.cfg = cfg
	r.log.Info("reload", "discovery", cfg.Discovery, "classes", logic.ClassNames(now.Settings.Classes), "attempts", now.Settings.MaxAttempts)
	r.p.Follow(cfg.Discovery)
	return nil
}

// retune moves to other classes: first to what is allowed by both, and to the new ones once no client goes by the old.
func (r *reloader) retune(classes []logic.Class, tries int) error {
	both, fewer := retune.Transition(r.classes, classes, r.tries, tries)
	if err := r.force(both, fewer); err != nil {
		return err
	}
	if r.settle != nil {
		r.settle.Stop()
	}
	var settle *time.Timer
	settle = time.AfterFunc(bothFor, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.settle != settle { // another configuration has come meanwhile
			return
		}
		if err := r.force(classes, tries); err != nil {
			r.log.Error("retune", "err", err)
		}
	})
	r.settle = settle
	return nil
}

func (r *reloader) force(classes []logic.Class, tries int) error {
	if err := r.p.UpdateClasses(classes, tries); err != nil {
		return err
	}
	r.classes, r.tries = classes, tries
	if r.extproc != nil {
		return r.extproc.Reload(r.file)
	}
	return nil
}

func (r *reloader) reloadOperator() {
	now, err := operator.Load(r.file.Path)
	if err != nil {
		r.log.Error("reload failed, the operator's old file stays in force", "err", err)
		return
	}
	fixed, live := r.file.Changed(now)
	if len(fixed) > 0 {
		r.log.Warn("reload: these need a restart, the old ones stay in force", "keys", fixed)
		now.Keep(r.file)
	}
	if r.extproc != nil && len(live) > 0 {
		if err := r.extproc.Reload(now); err != nil {
			r.log.Error("reload failed, the operator's old file stays in force", "err", err)
			return
		}
	}
	if r.gate != nil {
		if err := now.CheckClasses(logic.ClassNames(r.classes)); err != nil {
			r.log.Error("reload failed, the operator's old file stays in force", "err", err)
			return
		}
		r.gate.Reload(now.Identity)
	}
	r.file = now
	r.log.Info("reload of the operator's file", "changed", live)
}
