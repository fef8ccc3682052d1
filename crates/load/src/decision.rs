//! Look-ups of the decision alone: block table and choice, on one core.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use entity::EntityRef;
use steer::version::blocks::{Block, BlockTable};
use steer::version::{lookup, view};

/// Client blocks of the target size.
const BLOCKS: u32 = 830_000;

/// Regions of the target size.
const REGIONS: usize = 22;

/// Failure domains of the target size.
const DOMAINS: usize = 69;

/// Entry instances of each size measured.
const SIZES: [usize; 5] = [7, 20, 80, 400, 1500];

/// Look-ups a measurement makes.
const COUNT: u32 = 2_000_000;

/// Prints look-ups a second on one core at several sizes.
pub fn print() {
    let blocks = Arc::new(BlockTable::new(blocks()));
    println!("\ndecision alone, one core, {BLOCKS} client blocks, {REGIONS} regions");
    println!("entry instances  look-ups/s  ns each");
    for size in SIZES {
        let table = lookup::Table::new(&fleet(size));
        let begin = Instant::now();
        let mut rng = fastrand::Rng::with_seed(1);
        for _ in 0..COUNT {
            let addr = rng.u32(..);
            let region = blocks.region(Ipv4Addr::from(addr));
            black_box(table.choose(region, u64::from(addr)));
        }
        let span = begin.elapsed();
        let each = span.as_nanos() / u128::from(COUNT);
        let rate = u128::from(COUNT) * 1_000_000 / span.as_micros().max(1);
        println!("{size:>15} {rate:>11} {each:>8}");
    }
}

/// Blocks of 4,096 addresses, spread over the address space and the regions.
fn blocks() -> Vec<Block> {
    let block = |i: u32| Block {
        base: i << 12,
        len: 20,
        region: view::Region::new(i as usize % REGIONS),
    };
    (0..BLOCKS).map(block).collect()
}

fn fleet(size: usize) -> view::View {
    let name = |kind: &str, i: usize| -> Arc<str> { format!("{kind}{i:04}").into() };
    let regions = (0..REGIONS).map(|i| view::RegionData { name: name("r", i) });
    let domains = (0..DOMAINS).map(|i| view::DomainData {
        name: name("d", i),
        region: view::Region::new(i % REGIONS),
    });
    let members = (0..size).map(|i| view::MemberData {
        name: name("m", i),
        incarnation: view::Incarnation(i as u64 + 1),
        domain: view::Domain::new(i % DOMAINS),
        addr: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        state: view::State::Live,
    });
    view::View {
        regions: regions.collect(),
        domains: domains.collect(),
        members: members.collect(),
        ..view::View::default()
    }
}
