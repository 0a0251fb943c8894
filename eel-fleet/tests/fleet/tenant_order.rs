use crate::callers_model::{Model, Shape, Served, capacity_per_s, rate_factor};

fn skewed(count: usize, total: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count).map(|it| 1.0 / it as f64).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|it| it / sum * total).collect()
}

fn show(name: &str, shape: Shape) {
    let at = std::time::Instant::now();
    let model = Model::run(shape.clone());
    let total = model.total();
    let share = |it: &Served| f64::from(it.served) / f64::from(it.sent.max(1));
    let time = |it: &Served| f64::from(it.on_time) / f64::from(it.sent.max(1));
    let mut shares: Vec<f64> = model.tenants.iter().filter(|it| it.sent > 20).map(share).collect();
    shares.sort_by(f64::total_cmp);
    let mut times: Vec<f64> = model.tenants.iter().filter(|it| it.sent > 20).map(time).collect();
    times.sort_by(f64::total_cmp);
    println!("{name}: sent {} served {:.3} on time {:.3} urgent on time {:.3}; worst {:.3} tenth {:.3}; on time: worst {:.3} tenth {:.3}; rejected {} ({} late); items {} open {}; heavy {:?}; {:?}",
        total.sent, share(&total), time(&total), time(&model.urgent), shares[0], shares.iter().take(8).sum::<f64>()/8.0, times[0],
        times.iter().take(8).sum::<f64>()/8.0, model.rejected, model.rejected_late, model.items_done, model.items_open, (share(&model.tenants[0]), time(&model.tenants[0])), at.elapsed());
    let _ = (capacity_per_s(1), rate_factor(0));
}

#[test]
fn explore() {
    let base = Shape {
        node_weights: vec![1; 8], targets: 47, tenants_per_s: skewed(79, 277.0), knows_tenants: false, limit_per_s: None,
        items_per_s: 20.0, urgent_percent: 100, duration_ms: 18_000,
    };
    for factor_at in [vec![0], vec![5], vec![0, 3]] {
        for knows_tenants in [false, true] {
            for weights in [vec![1; 8], vec![4, 2, 1, 1, 1, 1, 1, 1]] {
            let mut shape = Shape { knows_tenants, node_weights: weights.clone(), ..base.clone() };
            for it in &factor_at { shape.tenants_per_s[*it] *= 7.5; }
            show(&format!("{factor_at:?} {knows_tenants} {weights:?}"), shape);
            }
        }
    }
    for limited in [None, Some(277.0 * 0.6 / 47.0)] {
        for urgent_percent in [100, 50] {
            show(&format!("limit {limited:?}"), Shape { limit_per_s: limited, urgent_percent, ..base.clone() });
        }
    }
}
