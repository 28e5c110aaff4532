"""Compares pooled detection with ejection after consecutive errors.

Run ``.venv/bin/python measures/detection.py``. It drives the decision classes
with a simulated clock and generated request outcomes, without network traffic.
"""

import argparse
import logging
import multiprocessing
import random
import statistics

import detection_model as model

WARM_UP_S = 60.0
DETECTION_HORIZON_S = 120.0
FLAP_DURATION_S = 300.0
UNION_DURATION_S = 60.0
SETTLING_S = 10.0
SPLIT_FAULTY_SERVERS = 8
DETECTED_SHARE = 0.5
FAULTS = {
    'errors 5%': model.Fault('errors', 0.05),
    'errors 20%': model.Fault('errors', 0.2),
    'errors 50%': model.Fault('errors', 0.5),
    'errors 100%': model.Fault('errors', 1.0),
    'slow 3x': model.Fault('slow', 3.0),
    'slow 10x': model.Fault('slow', 10.0),
}
# Groups of instances for ``PooledDetector``: two halves of the fleet, and
# zone a against the other zones.
SPLIT_GROUPS = [('a', lambda i: i % 8 < 4), ('a', lambda i: True)]
CUT_GROUPS = [('a', lambda i: model.zone_of(i) == 'a'), ('b', lambda i: True)]


def make_detector(design, rng, groups=None, is_shared=True):
    """Create the detector of a design, ``current`` or ``baseline``.

    The baseline has no groups and never shares evidence.
    """
    if design == 'baseline':
        return model.ConsecutiveErrors(rng)
    return model.PooledDetector(rng, groups=groups, is_shared=is_shared)


def make_warm_traffic(design, seed, fault, **options):
    """Return traffic that has run through the warm-up, up to the fault."""
    rng = random.Random(seed)
    detector = make_detector(design, rng, **options)
    traffic = model.Traffic(
        rng=rng, detector=detector, fault=fault, fault_at=WARM_UP_S
    )
    while traffic.now < WARM_UP_S:
        traffic.run_tick()
    traffic.failed = 0
    return traffic


def measure_detection(task):
    """Return the seconds until half of the instances avoid the faulty server.

    Returns None if they do not within ``DETECTION_HORIZON_S``.
    """
    design, seed, name = task
    traffic = make_warm_traffic(design, seed, FAULTS[name])
    while traffic.now < WARM_UP_S + DETECTION_HORIZON_S:
        traffic.run_tick()
        if traffic.detector.excluded_share(0) >= DETECTED_SHARE:
            return traffic.now - WARM_UP_S
    return None


def measure_unreachable_server(task):
    """Measure the detection of a server that zone a cannot reach.

    Returns
    -------
    avoided_after_s : float or None
        Seconds until half of the instances in zone a avoid the server; None
        if they do not within 30 s.
    is_ejected_elsewhere : bool
        Whether any instance in another zone ever avoided it as well.
    """
    design, seed = task
    traffic = make_warm_traffic(
        design, seed, model.Fault('cut'), groups=CUT_GROUPS
    )
    avoided_after_s = None
    is_ejected_elsewhere = False
    while traffic.now < WARM_UP_S + 30.0:
        traffic.run_tick()
        by_view = traffic.detector.excluded_sets()
        if design == 'baseline':
            near = [
                excluded
                for i, excluded in enumerate(by_view)
                if model.zone_of(i) == 'a'
            ]
            far = [
                excluded
                for i, excluded in enumerate(by_view)
                if model.zone_of(i) != 'a'
            ]
        else:
            near, far = by_view[:1], by_view[1:]
        is_ejected_elsewhere = is_ejected_elsewhere or any(
            0 in excluded for excluded in far
        )
        is_found = sum(
            0 in excluded for excluded in near
        ) >= DETECTED_SHARE * len(near)
        if avoided_after_s is None and is_found:
            avoided_after_s = traffic.now - WARM_UP_S
    return avoided_after_s, is_ejected_elsewhere


def measure_flapping(task):
    """Return the failed requests relative to those without detection.

    Without detection, the server would receive an even share of the requests
    and fail during half of the time.
    """
    design, seed = task
    traffic = make_warm_traffic(design, seed, model.Fault('flap'))
    while traffic.now < WARM_UP_S + FLAP_DURATION_S:
        traffic.run_tick()
    return traffic.failed / (
        model.REQUESTS_PER_S / model.SERVERS * FLAP_DURATION_S / 2
    )


def measure_union(task):
    """Return the lowest capacity, in slots, of servers that no view ejected.

    Returns two values: the lowest during the whole fault, and the lowest
    without its first ``SETTLING_S`` seconds.
    """
    design, seed = task
    fault = model.Fault('errors', 0.5, SPLIT_FAULTY_SERVERS)
    traffic = make_warm_traffic(
        design, seed, fault, groups=SPLIT_GROUPS, is_shared=False
    )
    least = least_settled = model.SERVERS * model.SLOTS
    while traffic.now < WARM_UP_S + UNION_DURATION_S:
        traffic.run_tick()
        if traffic.tick_number % model.TICKS_PER_STEP == 0:
            excluded = set().union(*traffic.detector.excluded_sets())
            capacity = (model.SERVERS - len(excluded)) * model.SLOTS
            least = min(least, capacity)
            if traffic.now > WARM_UP_S + SETTLING_S:
                least_settled = min(least_settled, capacity)
    return least, least_settled


def measure_false_ejections(task):
    """Return the number of ejections, over all views, without a fault."""
    design, seed, seconds = task
    traffic = make_warm_traffic(design, seed, model.Fault('none'))
    ejections = 0
    before = traffic.detector.excluded_sets()
    while traffic.now < WARM_UP_S + seconds:
        traffic.run_tick()
        if traffic.tick_number % model.TICKS_PER_STEP == 0:
            after = traffic.detector.excluded_sets()
            pairs = zip(after, before, strict=True)
            ejections += sum(len(new - old) for new, old in pairs)
            before = after
    return ejections


def format_median_and_p95(times):
    """Return a text with the median and the p95 of times in seconds.

    A time of None means no detection; it sorts last and reads ``never``.
    """
    never = float('inf')
    ordered = sorted(never if t is None else t for t in times)
    median = ordered[len(ordered) // 2]
    p95 = ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]
    return ' / '.join(
        'never' if t == never else f'{t:.2f} s' for t in (median, p95)
    )


def print_row(name, *cells):
    print(f'| {name} | ' + ' | '.join(cells) + ' |', flush=True)


DESIGNS = ['current', 'baseline']


def print_detection(pool, seeds):
    """Print the time to detection for each fault."""
    for name in FAULTS:
        cells = []
        for design in DESIGNS:
            tasks = [(design, seed, name) for seed in range(seeds)]
            cells.append(
                format_median_and_p95(pool.map(measure_detection, tasks))
            )
        print_row(f'{name}: detected after, median / p95', *cells)


def print_unreachable_and_flapping(pool, seeds):
    """Print results for a server unreachable from one zone and a flapping one.

    The output calls the first fault a one-way cut.
    """
    cuts = []
    elsewhere = []
    flaps = []
    for design in DESIGNS:
        tasks = [(design, seed) for seed in range(seeds)]
        results = pool.map(measure_unreachable_server, tasks)
        cuts.append(format_median_and_p95([time for time, _ in results]))
        count = sum(
            is_ejected_elsewhere for _, is_ejected_elsewhere in results
        )
        elsewhere.append(f'{count} of {seeds} runs')
        flaps.append(
            f'{statistics.mean(pool.map(measure_flapping, tasks)):.1%}'
        )
    print_row('one-way cut: avoided in zone a after, median / p95', *cuts)
    print_row('one-way cut: ejected in another zone', *elsewhere)
    print_row('flapping: failed requests relative to no detection', *flaps)


def print_union(pool, seeds):
    """Print how often the ejections of a split fleet respect the floor.

    The floor is the capacity that must stay in use; it is compared with the
    servers that neither half of the fleet has ejected.
    """
    floor = -(-model.SERVERS * model.SLOTS * model.FLOOR_PERCENT // 100)
    results = []
    for design in DESIGNS:
        tasks = [(design, seed) for seed in range(seeds)]
        results.append(pool.map(measure_union, tasks))
    for index, when in enumerate(('at all times', f'after {SETTLING_S:g} s')):
        cells = []
        for pairs in results:
            least = [pair[index] for pair in pairs]
            kept = sum(capacity >= floor for capacity in least)
            cells.append(
                f'{kept} of {seeds} runs, median '
                f'{statistics.median(least):g}, lowest {min(least)} slots'
            )
        print_row(
            f'split fleet: floor ({floor} slots) respected {when}', *cells
        )


def print_false_ejections(pool, hours):
    """Print the rate of ejections while all servers are healthy."""
    cells = []
    for design in DESIGNS:
        tasks = [(design, 1000 + seed, 1800.0) for seed in range(2 * hours)]
        count = sum(pool.map(measure_false_ejections, tasks, chunksize=1))
        rate = count / (hours * model.SERVERS)
        cells.append(f'{rate:.4f} ({count} in {hours * model.SERVERS})')
    print_row('false ejections per server-hour', *cells)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=40)
    parser.add_argument('--hours', type=int, default=6)
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument('--skip-baseline', action='store_true')
    options = parser.parse_args()
    if options.skip_baseline:
        DESIGNS.remove('baseline')
    logging.disable(logging.CRITICAL)
    print(
        f'{model.INSTANCES} instances, {model.SERVERS} servers of '
        f'{model.SLOTS} slots, {model.REQUESTS_PER_S:g} requests/s, '
        f'{options.seeds} seeds'
    )
    print_row('measure', *DESIGNS)
    print_row('---', *['---'] * len(DESIGNS))
    with multiprocessing.Pool(options.processes) as pool:
        print_detection(pool, options.seeds)
        print_unreachable_and_flapping(pool, options.seeds)
        print_union(pool, options.seeds)
        if options.hours:
            print_false_ejections(pool, options.hours)


if __name__ == '__main__':
    main()
