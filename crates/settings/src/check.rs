//! Checks of values: bounds of each, then what must fit together.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use crate::{Driver, Fault, Settings};

/// Keys that may be valid at once.
const KEYS_MAX: usize = 2;

/// Levels of logs.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Least memory of a process, in megabytes: bodies of the largest size have to find room.
const MEMORY_MB_MIN: usize = 32;

/// Smallest body limit in bytes that leaves room for a prompt.
const BODY_BYTES_MIN: usize = 1024;

/// Leases must be longer than this, or they end before a renewal has come and gone.
const LEASE_MIN: Duration = Duration::from_secs(1);

/// Most witnesses; each one costs every claim a message.
const WITNESSES_MAX: u8 = 15;

/// Longest duration of any key.
const DURATION_MAX: Duration = Duration::from_secs(24 * 60 * 60);

pub(crate) fn check(settings: &Settings) -> Vec<Fault> {
    let mut check = Check(Vec::new());
    check.vm(settings);
    check.listen(settings);
    check.platform(settings);
    check.peers(settings);
    check.limits(settings);
    check.time(settings);
    check.weights(settings);
    check.stores(settings);
    check.pools(settings);
    check.exchange(settings);
    check.rest(settings);
    check.0
}

struct Check(Vec<Fault>);

impl Check {
    fn ensure(&mut self, holds: bool, key: impl Into<String>, value: impl Debug, remedy: &str) {
        if holds {
            return;
        }
        let value = format!("{value:?}");
        let missing = value == "\"\"" || value == "None" || value == "[]";
        self.0.push(Fault {
            key: key.into(),
            value: if missing { String::new() } else { value },
            remedy: remedy.to_owned(),
        });
    }

    fn vm(&mut self, settings: &Settings) {
        let vm = &settings.vm;
        for (key, value) in [
            ("vm.id", &vm.id),
            ("vm.region", &vm.region),
            ("vm.zone", &vm.zone),
        ] {
            let plain = !value.is_empty() && !value.contains(char::is_whitespace);
            let remedy = "give the name that the platform's list uses, without spaces";
            self.ensure(plain, key, value, remedy);
        }
    }

    fn listen(&mut self, settings: &Settings) {
        let listen = &settings.listen;
        let bound = [
            ("callers", listen.callers),
            ("peers", listen.peers),
            ("operators", listen.operators),
        ];
        for (index, (name, address)) in bound.into_iter().enumerate() {
            let free = bound[..index]
                .iter()
                .all(|(_, other)| !clash(*other, address));
            let remedy = "another listener binds this address, give it a port of its own";
            self.ensure(free, format!("listen.{name}"), address, remedy);
        }
    }

    fn platform(&mut self, settings: &Settings) {
        let platform = &settings.platform;
        let key = "platform.addresses";
        let some = !platform.addresses.is_empty();
        self.ensure(
            some,
            key,
            &platform.addresses,
            "list at least one host:port",
        );
        for address in &platform.addresses {
            self.ensure(is_host_port(address), key, address, "write host:port");
        }
        for (name, value) in [
            ("timeout", platform.timeout),
            ("poll", platform.poll),
            ("watch", platform.watch),
        ] {
            self.duration(format!("platform.{name}"), value);
        }
    }

    fn exchange(&mut self, settings: &Settings) {
        let Some(exchange) = &settings.exchange else {
            return;
        };
        for (name, value) in [
            ("retry_window", exchange.retry_window),
            ("lease", exchange.lease),
            ("grace", exchange.grace),
            ("ceiling", exchange.ceiling),
            ("load", exchange.load),
            ("reload", exchange.reload),
            ("step", exchange.step),
            ("pause", exchange.pause),
            ("lapse", exchange.lapse),
        ] {
            self.duration(format!("exchange.{name}"), value);
        }
        for (name, value) in [
            ("retry_ratio", exchange.retry_ratio),
            ("retry_extra", exchange.retry_extra),
        ] {
            let sound = value.is_finite() && value >= 0.0;
            self.ensure(
                sound,
                format!("exchange.{name}"),
                value,
                "give a number from 0",
            );
        }
        let sound = exchange.attention.is_finite() && exchange.attention >= 0.0;
        let remedy = "give the milliseconds that a pair of tokens takes, from 0";
        self.ensure(sound, "exchange.attention", exchange.attention, remedy);
        let sound = exchange.prefill.is_finite() && exchange.prefill > 0.0;
        let remedy = "give the tokens that an engine reads in a millisecond";
        self.ensure(sound, "exchange.prefill", exchange.prefill, remedy);
        let sound = exchange.link_mbps.is_finite() && exchange.link_mbps > 0.0;
        let remedy = "give the megabits a second that the VM's link carries";
        self.ensure(sound, "exchange.link_mbps", exchange.link_mbps, remedy);
        for (name, value) in [
            ("parallel", exchange.parallel),
            ("threads", exchange.threads),
        ] {
            self.ensure(
                value > 0,
                format!("exchange.{name}"),
                value,
                "give at least 1",
            );
        }
    }

    fn peers(&mut self, settings: &Settings) {
        let keys = &settings.peers.keys;
        let count = (1..=KEYS_MAX).contains(&keys.len());
        self.ensure(
            count,
            "peers.keys",
            keys,
            "list one key, or two during a rotation",
        );
        for key in keys {
            let long = key.0.len() >= wire::seal::KEY_BYTES_MIN;
            self.ensure(long, "peers.keys", key, "give a key of at least 16 bytes");
        }
    }

    fn limits(&mut self, settings: &Settings) {
        let limits = &settings.limits;
        for (name, value, least) in [
            ("header_bytes", limits.header_bytes, BODY_BYTES_MIN),
            ("body_bytes", limits.body_bytes, BODY_BYTES_MIN),
            ("connections", limits.connections, 1),
            ("streams", limits.streams, 1),
            ("queue", limits.queue, 1),
            ("memory_mb", limits.memory_mb, MEMORY_MB_MIN),
            ("frame_bytes", limits.frame_bytes, BODY_BYTES_MIN),
        ] {
            let remedy = format!("give at least {least}");
            self.ensure(value >= least, format!("limits.{name}"), value, &remedy);
        }
        let witnesses = limits.witnesses;
        let remedy = "give 1 to 15, the same on every VM of the region";
        let fits = (1..=WITNESSES_MAX).contains(&witnesses);
        self.ensure(fits, "limits.witnesses", witnesses, remedy);
    }

    fn time(&mut self, settings: &Settings) {
        let time = &settings.time;
        for (name, value) in [
            ("connect", time.connect),
            ("header", time.header),
            ("body", time.body),
            ("first_byte", time.first_byte),
            ("idle", time.idle),
            ("deadline", time.deadline),
            ("deadline_max", time.deadline_max),
            ("drain", time.drain),
            ("address_ttl", time.address_ttl),
            ("retry_window", time.retry_window),
            ("lease", time.lease),
            ("load", time.load),
        ] {
            self.duration(format!("time.{name}"), value);
        }
        if let Some(quarantine) = time.quarantine {
            self.duration("time.quarantine".to_owned(), quarantine);
        }
        let remedy = "make it at most time.deadline_max";
        self.ensure(
            time.deadline <= time.deadline_max,
            "time.deadline",
            time.deadline,
            remedy,
        );
        let remedy = "make it shorter than time.deadline, or requests end while they wait";
        self.ensure(
            time.gather < time.deadline,
            "time.gather",
            time.gather,
            remedy,
        );
        let remedy = "make it at least time.address_ttl, callers use an address for that long";
        self.ensure(
            time.drain >= time.address_ttl,
            "time.drain",
            time.drain,
            remedy,
        );
        let remedy = "make it longer than 1s, or leases end before their renewal";
        self.ensure(time.lease > LEASE_MIN, "time.lease", time.lease, remedy);
    }

    fn duration(&mut self, key: String, value: Duration) {
        let fits = value > Duration::ZERO && value <= DURATION_MAX;
        self.ensure(fits, key, value, "give more than 0s and at most 24h");
    }

    fn weights(&mut self, settings: &Settings) {
        let weights = &settings.weights;
        for (key, value) in [
            ("weights.load_stalls", weights.load_stalls),
            ("weights.batch_efficiency", weights.batch_efficiency),
        ] {
            self.ensure(
                (0.0..=1.0).contains(&value),
                key,
                value,
                "give a number from 0 to 1",
            );
        }
        let some = weights.load_stalls > 0.0 || weights.batch_efficiency > 0.0;
        self.ensure(some, "weights", weights, "give at least one weight above 0");
    }

    fn stores(&mut self, settings: &Settings) {
        for (name, store) in &settings.stores {
            let rate = store.loads_per_second;
            let fits = rate.is_finite() && rate > 0.0;
            let key = |leaf| format!("store.{name}.{leaf}");
            self.ensure(fits, key("loads_per_second"), rate, "give a number above 0");
            self.ensure(
                store.in_flight > 0,
                key("in_flight"),
                store.in_flight,
                "give at least 1",
            );
            self.duration(key("load_time"), store.load_time);
        }
    }

    fn pools(&mut self, settings: &Settings) {
        for (name, pool) in &settings.pools {
            let key = |leaf| format!("pool.{name}.{leaf}");
            self.ensure(
                pool.max_batch > 0,
                key("max_batch"),
                pool.max_batch,
                "give at least 1",
            );
            self.duration(key("report_lag"), pool.report_lag);
            if pool.driver == Driver::Service {
                let remedy = "a service loads no adapters, remove it or set driver = \"engine\"";
                self.ensure(pool.base.is_none(), key("base"), &pool.base, remedy);
                self.ensure(pool.store.is_none(), key("store"), &pool.store, remedy);
                continue;
            }
            self.ensure(pool.slots > 0, key("slots"), pool.slots, "give at least 1");
            let remedy = "name the base model that the engines run";
            self.ensure(pool.base.is_some(), key("base"), &pool.base, remedy);
            let store = pool.store.as_deref().unwrap_or_default();
            let known = settings.stores.contains_key(store);
            self.ensure(
                known,
                key("store"),
                store,
                "name a store that has a [store.NAME] table",
            );
        }
    }

    fn rest(&mut self, settings: &Settings) {
        if let Some(tls) = &settings.tls {
            let remedy = "give the path of a PEM file";
            let certificate = &tls.certificate;
            self.ensure(
                !certificate.as_os_str().is_empty(),
                "tls.certificate",
                certificate,
                remedy,
            );
            self.ensure(!tls.key.as_os_str().is_empty(), "tls.key", &tls.key, remedy);
        }
        let log = &settings.log;
        let known = LEVELS.contains(&log.level.as_str());
        self.ensure(
            known,
            "log.level",
            &log.level,
            "use error, warn, info, debug or trace",
        );
        let lines = log.lines_per_second;
        self.ensure(lines > 0, "log.lines_per_second", lines, "give at least 1");
    }
}

/// Tells whether two listeners can't both bind.
fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}

fn is_host_port(text: &str) -> bool {
    text.rsplit_once(':').is_some_and(|(host, port)| {
        !host.is_empty() && port.parse::<u16>().is_ok_and(|port| port > 0)
    })
}
