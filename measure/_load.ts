/**
 * Open-loop load generator process: `_load.js JSON` takes `LoadOptions` and replies `LoadResult[]`.
 *
 * @module
 */
import { Agent, request } from 'undici';
import type { LoadOptions, LoadResult } from './_LoadOptions.js';

const options = JSON.parse(process.argv[2] ?? '{}') as LoadOptions;
const agent = new Agent({ connections: 1_500, pipelining: 1 });
/** Interval of the timer that sends the requests that have become due. */
const STEP_MS = 5;

const start = performance.now();

interface Stream {
  result: LoadResult;
  latencies: number[];
  /** Time since the last arrival, in mean interarrival times. */
  elapsedUnits: number;
  /** Time from the last arrival to the next, in mean interarrival times. */
  nextGap: number;
}

/** State of a Park-Miller generator, which gives every run the same arrivals. */
let seed = 42;
function computeArrivalGap(): number {
  seed = (seed * 48_271) % 0x7fffffff;
  return -Math.log(seed / 0x7fffffff);
}

async function sendRequest(stream: Stream): Promise<void> {
  const { result, latencies } = stream;
  const { flow } = result;
  const begin = performance.now();
  try {
    const answer = await request(`http://${options.gateway}/${flow.service}`, {
      dispatcher: agent,
      headers: {
        'buckthornreach-urgency': flow.urgency,
        'buckthornreach-timeout-ms': String(flow.timeoutMs),
      },
    });
    await answer.body.dump();
    const latencyMs = performance.now() - begin;
    if (answer.statusCode !== 200) result.refused += 1;
    else if (latencyMs <= flow.timeoutMs) {
      result.good += 1;
      if (performance.now() - start <= options.durationMs) result.goodInPhase += 1;
      latencies.push(latencyMs);
    }
  } catch {
    result.failed += 1;
  }
}

function findPercentile(sorted: number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

const streams: Stream[] = options.flows.map((flow) => {
  const result = {
    flow,
    sent: 0,
    good: 0,
    goodInPhase: 0,
    refused: 0,
    failed: 0,
    p50: 0,
    p99: 0,
    max: 0,
  };
  return { result, latencies: [], elapsedUnits: 0, nextGap: computeArrivalGap() };
});
const pending: Promise<void>[] = [];
let last = start;
await new Promise<void>((resolve) => {
  const timer = setInterval(() => {
    const now = performance.now();
    streams.forEach((one) => {
      const stream = one;
      stream.elapsedUnits += ((now - last) * stream.result.flow.perSecond) / 1_000;
      // Arrivals form a Poisson process: the gaps are exponentially distributed.
      while (stream.elapsedUnits >= stream.nextGap) {
        stream.elapsedUnits -= stream.nextGap;
        stream.nextGap = computeArrivalGap();
        stream.result.sent += 1;
        pending.push(sendRequest(stream));
      }
    });
    last = now;
    if (now - start < options.durationMs) return;
    clearInterval(timer);
    resolve();
  }, STEP_MS);
});
await Promise.all(pending);
process.send?.(
  streams.map(({ result, latencies }) => {
    const sorted = latencies.sort((a, b) => a - b);
    const [p50, p99] = [findPercentile(sorted, 0.5), findPercentile(sorted, 0.99)];
    return { ...result, p50, p99, max: sorted.at(-1) ?? 0 };
  }),
);
await agent.close();
