//! Compares the rate of work at the limit of a target with that at a level that is tried.

/// The lowest determinant, as a share of its largest value, at which the two rates can be told apart.
const MIN_DETERMINANT: f64 = 0.2;

/// The variance of the logarithm of service times until it has been measured.
const INITIAL_VARIANCE: f64 = 0.25;

/// The weight of the latest request in the variance.
const VARIANCE_WEIGHT: f64 = 0.02;

/// The largest deviation of the logarithm of a service time that counts in the variance.
const MAX_DEVIATION: f64 = 2.0;

/// `RunMark` is the state of a comparison when a request started.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RunMark {
    epoch: u64,
    time: LevelTime,
}

/// `LevelTime` is the time that was spent at the levels, in seconds at normal pace.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LevelTime {
    /// The time at the limit.
    pub base: f64,
    /// The time at the level of the trial.
    pub trial: f64,
    /// The time at which fewer requests ran than might have.
    pub idle: f64,
}

impl LevelTime {
    /// Returns the time at all levels.
    pub fn total(&self) -> f64 {
        self.base + self.trial + self.idle
    }
}

/// `RunGroup` sums up requests that ran mainly at the same level. Times are multiples of the mean
/// service time of each request's class, so that classes of different lengths count alike.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RunGroup {
    /// The number of requests.
    pub runs: f64,
    base: f64,
    trial: f64,
}

impl RunGroup {
    /// Returns the mean service time as a multiple of the mean of each request's class.
    pub fn slowness(&self) -> f64 {
        if self.runs > 0.0 {
            (self.base + self.trial) / self.runs
        } else {
            1.0
        }
    }

    /// Multiplies the weight of the requests so far by a factor.
    pub fn fade(&mut self, factor: f64) {
        self.runs *= factor;
        self.base *= factor;
        self.trial *= factor;
    }
}

/// `LevelRates` holds the work that a request gets done per second at two levels, as a multiple of
/// the usual one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelRates {
    /// The rate at the limit.
    pub base: f64,
    /// The rate at the level of the trial.
    pub trial: f64,
}

/// `LevelComparison` compares the limit with the level of the latest trial.
///
/// A request that ran at both levels counts in the group of the one at which it ran longer. Each
/// group yields one equation: its number of requests is the sum of the work done at both rates. The
/// two equations determine both rates, however quickly the levels alternate.
#[derive(Debug)]
pub struct LevelComparison {
    /// The requests that ran mainly at the limit.
    pub base: RunGroup,
    /// The requests that ran mainly at the level of the trial.
    pub trial: RunGroup,
    trial_level: u32,
    /// The variance of the service time of a request, as a multiple of the mean of its class.
    variance: f64,
    epoch: u64,
    time: LevelTime,
}

impl Default for LevelComparison {
    fn default() -> Self {
        Self {
            base: RunGroup::default(),
            trial: RunGroup::default(),
            trial_level: 0,
            variance: INITIAL_VARIANCE,
            epoch: 0,
            time: LevelTime::default(),
        }
    }
}

impl LevelComparison {
    /// Returns the level of the latest trial.
    pub fn trial_level(&self) -> u32 {
        self.trial_level
    }

    /// Returns the mark of a request that starts now.
    pub fn mark(&self) -> RunMark {
        RunMark {
            epoch: self.epoch,
            time: self.time,
        }
    }

    /// Returns the time since a mark, or `None` if it belongs to other levels.
    pub fn run_since(&self, mark: RunMark) -> Option<LevelTime> {
        (mark.epoch == self.epoch).then_some(LevelTime {
            base: self.time.base - mark.time.base,
            trial: self.time.trial - mark.time.trial,
            idle: self.time.idle - mark.time.idle,
        })
    }

    /// Adds time at a level. Levels between the limit and that of the trial count as a share of both.
    pub fn advance(&mut self, limit: u32, running: u32, is_pressed: bool, elapsed: f64) {
        if !is_pressed {
            self.time.idle += elapsed;
            return;
        }
        let distance = f64::from(self.trial_level) - f64::from(limit);
        let share = if self.trial_level == 0 || distance == 0.0 {
            0.0
        } else {
            ((f64::from(running) - f64::from(limit)) / distance).clamp(0.0, 1.0)
        };

        self.time.trial += elapsed * share;
        self.time.base += elapsed * (1.0 - share);
    }

    /// Counts a request with the given mean service time of its class.
    pub fn count(&mut self, run: &LevelTime, reference: f64) {
        let group = if run.trial > run.base {
            &mut self.trial
        } else {
            &mut self.base
        };

        let deviation = ((run.base + run.trial) / reference).ln()
            - if group.runs > 0.0 {
                group.slowness().ln()
            } else {
                0.0
            };
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.variance += (deviation * deviation - self.variance) * VARIANCE_WEIGHT;
        group.runs += 1.0;
        group.base += run.base / reference;
        group.trial += run.trial / reference;
    }

    /// Returns the standard deviation of the logarithm of the ratio of both rates.
    pub fn deviation(&self) -> f64 {
        let runs = 1.0 / self.base.runs.max(1.0) + 1.0 / self.trial.runs.max(1.0);

        (self.variance * runs).sqrt()
    }

    /// Returns the rates at both levels, or `None` while they cannot be told apart.
    pub fn rates(&self) -> Option<LevelRates> {
        let (base, trial) = (&self.base, &self.trial);
        let determinant = base.base * trial.trial - base.trial * trial.base;
        if determinant <= MIN_DETERMINANT * base.base * trial.trial || determinant <= 0.0 {
            return None;
        }

        Some(LevelRates {
            base: ((base.runs * trial.trial - base.trial * trial.runs) / determinant).max(0.0),
            trial: ((base.base * trial.runs - trial.base * base.runs) / determinant).max(0.0),
        })
    }

    /// Multiplies the weight of all requests so far by a factor.
    pub fn fade(&mut self, factor: f64) {
        self.base.fade(factor);
        self.trial.fade(factor);
    }

    /// Begins the trial of a level. What is known about it is kept if it is the level of the previous
    /// trial; otherwise, time at the previous one is counted at the rate of the limit.
    pub fn begin_trial(&mut self, level: u32) {
        if level == self.trial_level {
            return;
        }
        if let Some(rates) = self.rates()
            && rates.base > 0.0
        {
            self.base.base = self.base.runs / rates.base;
        } else {
            self.base.base += self.base.trial;
        }
        self.base.trial = 0.0;
        self.trial = RunGroup::default();
        self.trial_level = level;
    }

    /// Makes the level of the trial the one at the limit. Returns the slowness of requests there, by
    /// which the mean service times of all classes change.
    pub fn adopt_trial(&mut self) -> f64 {
        let (runs, slowness) = (self.trial.runs, self.trial_slowness());
        self.forget();
        self.base = RunGroup {
            runs,
            base: runs,
            trial: 0.0,
        };

        slowness
    }

    /// Returns the slowness of requests at the level of the trial.
    fn trial_slowness(&self) -> f64 {
        match self.rates() {
            Some(rates) if rates.trial > 0.0 => 1.0 / rates.trial,
            _ => self.trial.slowness(),
        }
    }

    /// Discards everything, also the runs that are in progress.
    pub fn forget(&mut self) {
        self.base = RunGroup::default();
        self.trial = RunGroup::default();
        self.trial_level = 0;
        self.epoch += 1;
    }
}
