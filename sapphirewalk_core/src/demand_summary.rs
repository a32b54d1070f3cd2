//! Running sums of the demands of a worker's tasks, by kind and image.
//!
//! Placement scores every worker for every waiting step, so the sums are updated when a task is
//! added or removed and not computed per score.

use crate::image_interference::ImageKey;
use crate::job_spec::StepSpec;

/// Sums of the demands of all tasks on one worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DemandSummary {
    /// Number of service tasks of each image; sorted, without zeros.
    pub service_images: Vec<(ImageKey, u64)>,
    /// Processor demand of service tasks in thousandths of a core.
    pub service_cpu_millis: u64,
    /// Processor demand of best-effort tasks of each image in thousandths of a core; sorted,
    /// without zeros.
    pub best_effort_images: Vec<(ImageKey, u64)>,
    /// Processor demand of all other tasks, best-effort ones included, in thousandths of a core.
    pub other_cpu_millis: u64,
}

impl DemandSummary {
    /// Adds the demand of one task of the step.
    pub fn add(&mut self, step: &StepSpec, image: ImageKey) {
        let cpu_millis = step.demand.cpu_millis;
        if step.service {
            self.service_cpu_millis = self.service_cpu_millis.saturating_add(cpu_millis);
            increase(&mut self.service_images, image, 1);
        } else {
            self.other_cpu_millis = self.other_cpu_millis.saturating_add(cpu_millis);
        }
        if step.best_effort {
            increase(&mut self.best_effort_images, image, cpu_millis);
        }
    }

    /// Subtracts the demand of one task of the step that [`Self::add`] has counted.
    pub fn remove(&mut self, step: &StepSpec, image: ImageKey) {
        let cpu_millis = step.demand.cpu_millis;
        if step.service {
            self.service_cpu_millis = self.service_cpu_millis.saturating_sub(cpu_millis);
            decrease(&mut self.service_images, image, 1);
        } else {
            self.other_cpu_millis = self.other_cpu_millis.saturating_sub(cpu_millis);
        }
        if step.best_effort {
            decrease(&mut self.best_effort_images, image, cpu_millis);
        }
    }
}

fn increase(sums: &mut Vec<(ImageKey, u64)>, image: ImageKey, amount: u64) {
    match sums.binary_search_by_key(&image, |(known, _)| *known) {
        Ok(found) => sums[found].1 = sums[found].1.saturating_add(amount),
        Err(place) => sums.insert(place, (image, amount)),
    }
}

fn decrease(sums: &mut Vec<(ImageKey, u64)>, image: ImageKey, amount: u64) {
    if let Ok(found) = sums.binary_search_by_key(&image, |(known, _)| *known) {
        sums[found].1 = sums[found].1.saturating_sub(amount);
        if sums[found].1 == 0 {
            sums.remove(found);
        }
    }
}
