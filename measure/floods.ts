/**
 * Measures what other work keeps while one kind of work floods, for both admission policies.
 *
 * `npm run measure -- floods [fair|fifo] [PART OF A PHASE'S NAME]`. Five services of 8 upstreams with
 * 8 slots. In each phase one kind of work rises; what the others
 * keep is compared with a phase without a flood on the same gateway.
 *
 * @module
 */
import { Fleet } from './_Fleet.js';
import type { Flow, LoadOptions, LoadResult } from './_LoadOptions.js';

const SERVICES = ['s1', 's2', 's3', 's4', 's5'];
const HOSTS = 8;
const SLOTS = 8;
const SERVICE_MS = 200;
/** Jobs a second that one pool can run. */
const CAPACITY = (HOSTS * SLOTS * 1_000) / SERVICE_MS;
/** At five times its mean, a queue asks for twice what its pool holds. */
const MEAN = 0.4 * CAPACITY;
const BETWEEN = 1 / 20;
const PHASE_MS = 2_500;
const FACTORS = [5, 20];
const TIMEOUT_MS = 2_000;
/** Longer than any start of urgent work, so that late starts are seen and not cut off. */
const URGENT_TIMEOUT_MS = 10_000;
const SHARES: Record<string, number> = { urgent: 0.2, normal: 0.6, batch: 0.2 };

/** Builds the flows of a phase: factors by service, and by urgency within the first service. */
function buildFlows(
  services: Record<string, number>,
  urgencies: Record<string, number> = {},
): Flow[] {
  return SERVICES.flatMap((service) =>
    Object.entries(SHARES).map(([urgency, share]) => {
      const extra = service === 's1' ? (urgencies[urgency] ?? 1) : 1;
      const perSecond = MEAN * share * (services[service] ?? 1) * extra;
      const timeoutMs = urgency === 'urgent' ? URGENT_TIMEOUT_MS : TIMEOUT_MS;
      return { service, urgency, perSecond, timeoutMs };
    }),
  );
}

function describe(name: string, flooded: (flow: Flow) => boolean, runs: LoadResult[][]): object {
  const [calm = [], flood = []] = runs;
  const kept = flood
    .filter(({ flow, sent }) => !flooded(flow) && sent > 0)
    .map((result) => {
      const before = calm.find(
        ({ flow }) => flow.service === result.flow.service && flow.urgency === result.flow.urgency,
      ) as LoadResult;
      return {
        name: `${result.flow.service} ${result.flow.urgency}`,
        goodput: result.good / result.sent / (before.good / before.sent),
        p99: result.p99 / before.p99,
      };
    });
  const worst = kept.toSorted((a, b) => b.p99 - a.p99)[0];
  const own = flood.filter(({ flow }) => flooded(flow));
  const [service] = own.map(({ flow }) => flow.service);
  const pool = flood.filter(({ flow }) => flow.service === service);
  const good = pool.reduce((sum, result) => sum + result.goodInPhase, 0);
  const urgent = flood.filter(({ flow }) => flow.urgency === 'urgent');
  const round = (value: number): number => Math.round(value * 1_000) / 1_000;
  return {
    phase: name,
    keptGoodputLeast: round(Math.min(...kept.map(({ goodput }) => goodput))),
    keptP99Most: round(worst?.p99 ?? 0),
    of: worst?.name,
    poolGoodputOfCapacity: round(good / ((CAPACITY * PHASE_MS) / 1_000)),
    urgentStartMostMs: round(Math.max(...urgent.map(({ max }) => max)) - SERVICE_MS),
    failed: flood.reduce((sum, result) => sum + result.failed, 0),
  };
}

/** One phase: what floods, and what falls to a twentieth. */
interface Phase {
  name: string;
  services?: Record<string, number>;
  urgencies?: Record<string, number>;
  isFlooded: (flow: Flow) => boolean;
}

function buildPhases(): Phase[] {
  const services = SERVICES.flatMap((service, index) =>
    FACTORS.map((factor) => {
      // The service that flooded before falls to a twentieth of its mean.
      const last = SERVICES[index - 1];
      return {
        name: `${service} at ${factor} times`,
        services: { ...(last ? { [last]: BETWEEN } : {}), [service]: factor },
        isFlooded: (flow: Flow) => flow.service === service,
      };
    }),
  );
  const urgencies = Object.keys(SHARES).flatMap((urgency) =>
    FACTORS.map((factor) => ({
      name: `${urgency} work of s1 at ${factor} times`,
      urgencies: { [urgency]: factor },
      isFlooded: (flow: Flow) => flow.service === 's1' && flow.urgency === urgency,
    })),
  );
  return [...urgencies, ...services];
}

const fleet = new Fleet();
const policies = process.argv[3] === undefined ? ['fair', 'fifo'] : [process.argv[3]];
const only = process.argv[4] ?? '';
try {
  await fleet.open(SERVICES, { hosts: HOSTS, serviceMs: SERVICE_MS });
  for (const admission of policies as ('fair' | 'fifo')[]) {
    const gateway = await fleet.startGateway(admission);
    const load = (flows: Flow[]): Promise<LoadResult[]> => {
      const options = { gateway, flows, durationMs: PHASE_MS };
      return fleet.run('_load', [JSON.stringify(options satisfies LoadOptions)]) as Promise<
        LoadResult[]
      >;
    };
    await load(buildFlows({}));
    const calm = await load(buildFlows({}));
    for (const phase of buildPhases().filter(({ name }) => name.includes(only))) {
      const flood = await load(buildFlows(phase.services ?? {}, phase.urgencies));
      const result = describe(phase.name, phase.isFlooded, [calm, flood]);
      console.log(JSON.stringify({ admission, ...result }));
    }
  }
} finally {
  await fleet.close();
}
