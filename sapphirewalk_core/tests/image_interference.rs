//! Which of the learned interference is stored when its row can't hold all of it.

#![allow(missing_docs)]

use sapphirewalk_core::image_interference::ImageLoad;
use sapphirewalk_core::image_interference::InterferenceModel;
use sapphirewalk_core::image_interference::LearnedImage;
use sapphirewalk_core::stored_value;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const LONGEST_ROW: usize = 2_000;

fn now() -> TimePoint {
    TimePoint::from_millis(1_000_000)
}

/// Service images, each with this number of best-effort images of which the last one interferes.
fn learned_images(services: usize, best_efforts: usize) -> Vec<LearnedImage> {
    let weight = |number: usize| if number + 1 == best_efforts { 3.0 } else { 0.2 };
    let images = (0..services).map(|service| LearnedImage {
        image: format!("service-{service}"),
        base: -0.4,
        best_efforts: (0..best_efforts)
            .map(|number| (format!("bulk-{number}"), weight(number)))
            .collect(),
    });
    images.collect()
}

fn model(learned: &[LearnedImage]) -> InterferenceModel {
    let mut model = InterferenceModel::default();
    model.import(learned.to_vec(), now());
    model
}

#[test]
fn all_fits_are_stored_if_the_row_holds_them() {
    let learned = learned_images(4, 20);
    let len = stored_value::encoded_len(&learned);
    // The header of the row is counted with its greatest length.
    let stored = model(&learned).export(len + 2, now());
    assert_eq!(stored, learned);
}

#[test]
fn no_row_is_longer_than_it_may_be() {
    let learned = learned_images(30, 40);
    for longest_row in [0, 1, 10, 100, 1_000, 10_000, 30_000] {
        let stored = model(&learned).export(longest_row, now());
        let len = stored_value::encoded_len(&stored);
        assert!(len <= longest_row.max(2), "{len} bytes of {longest_row}");
        assert!(len * 10 >= longest_row * 9 || stored == learned || longest_row < 1_000);
    }
}

#[test]
fn the_images_that_interfere_most_are_stored() {
    let stored = model(&learned_images(8, 200)).export(LONGEST_ROW, now());
    assert_eq!(stored.len(), 8);
    for image in &stored {
        let strong = ("bulk-199".to_owned(), 3.0);
        assert!(image.best_efforts.contains(&strong), "{image:?}");
    }
}

/// Guards against images of the past that keep those of the present out of the row.
#[test]
fn service_images_with_samples_are_stored_before_those_without() {
    let mut model = model(&learned_images(200, 1));
    let later = now() + TimeSpan::from_secs(120);
    let image = model.intern("service-199");
    let best_effort = model.intern("bulk-0");
    let load = ImageLoad {
        image: best_effort,
        share: 0.5,
    };
    for _ in 0..40 {
        model.observe(image, &[load], 1.0, later);
    }
    let stored = model.export(LONGEST_ROW, later);
    assert!(stored.len() < 200);
    let kept = stored.iter().find(|learned| learned.image == "service-199");
    let kept = kept.expect("the image with samples is stored");
    assert_eq!(kept.best_efforts.len(), 1);
}
