//! Quantiles of recent latencies, from a logarithmic histogram whose counts decay.

use crate::time::TimeSpan;

/// Buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: u32 = 8;
/// Bits of a latency that select the bucket within an octave.
const OCTAVE_BITS: u32 = BUCKETS_PER_OCTAVE.ilog2();
/// Octaves covered by buckets; longer latencies are counted in the last bucket.
const OCTAVES: u32 = 32;
/// Number of samples at which all counts are halved, so that recent samples weigh more.
const HALVE_AFTER_SAMPLES: u32 = 4_096;

/// Recent latencies of one kind or endpoint, with a relative error of at most an eighth.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: Vec<u32>,
    total: u32,
}

impl LatencyHistogram {
    /// A histogram without samples.
    pub fn new() -> Self {
        Self {
            counts: vec![0; (BUCKETS_PER_OCTAVE * OCTAVES) as usize],
            total: 0,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, latency: TimeSpan) {
        if self.total >= HALVE_AFTER_SAMPLES {
            self.halve();
        }
        self.counts[bucket_of(latency)] += 1;
        self.total += 1;
    }

    /// Number of samples in the histogram, reduced each time the counts are halved.
    pub const fn samples(&self) -> u32 {
        self.total
    }

    /// The latency that `permille` thousandths of the samples do not exceed.
    ///
    /// `None` while the histogram holds fewer than `min_samples` samples.
    pub fn quantile(&self, permille: u32, min_samples: u32) -> Option<TimeSpan> {
        if self.total == 0 || self.total < min_samples {
            return None;
        }
        let rank = u64::from(self.total) * u64::from(permille.min(1_000));
        let rank = rank.div_ceil(1_000).max(1);
        let mut cumulative = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += u64::from(*count);
            if cumulative >= rank {
                return Some(upper_bound(bucket));
            }
        }
        None
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self::new()
    }
}

fn bucket_of(latency: TimeSpan) -> usize {
    let micros = latency.as_micros();
    if micros < u64::from(BUCKETS_PER_OCTAVE) {
        return usize::try_from(micros).unwrap_or(0);
    }
    let octave = micros.ilog2() - OCTAVE_BITS;
    let sub_bucket = (micros >> octave) - u64::from(BUCKETS_PER_OCTAVE);
    let bucket = u64::from((octave + 1) * BUCKETS_PER_OCTAVE) + sub_bucket;
    let last = u64::from(BUCKETS_PER_OCTAVE * OCTAVES - 1);
    usize::try_from(bucket.min(last)).unwrap_or(0)
}

fn upper_bound(bucket: usize) -> TimeSpan {
    let bucket = bucket as u64;
    let per_octave = u64::from(BUCKETS_PER_OCTAVE);
    if bucket < per_octave {
        return TimeSpan::from_micros(bucket);
    }
    let octave = bucket / per_octave - 1;
    let sub_bucket = bucket % per_octave + per_octave;
    TimeSpan::from_micros(((sub_bucket + 1) << octave) - 1)
}
