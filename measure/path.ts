/**
 * Measures latency and throughput of requests through a gateway, compared with direct requests to
 * an upstream stand-in in the same run.
 *
 * @module
 */
import { Pool } from 'undici';
import { MeasuredDeployment } from './_MeasuredDeployment.js';

const CONCURRENCY = 32;
const WARM_UP_MS = 2_000;
const DURATION_MS = 5_000;

interface PathResult {
  perSecond: number;
  p50: number;
  p99: number;
}

async function measureCalls(address: string, options: { concurrency: number; ms: number }) {
  const pool = new Pool(`http://${address}`, { connections: options.concurrency });
  const latencies: number[] = [];
  const begin = performance.now();
  await Promise.all(
    Array.from({ length: options.concurrency }, async () => {
      while (performance.now() - begin < options.ms) {
        const start = performance.now();
        const { statusCode, body } = await pool.request({ path: '/s1/job', method: 'GET' });
        await body.dump();
        if (statusCode !== 200) throw new Error(`status ${statusCode}`);
        latencies.push(performance.now() - start);
      }
    }),
  );
  const seconds = (performance.now() - begin) / 1_000;
  await pool.close();
  latencies.sort((a, b) => a - b);
  const find = (part: number): number =>
    Math.round((latencies[Math.floor(part * latencies.length)] ?? 0) * 1_000) / 1_000;
  const perSecond = Math.round(latencies.length / seconds);
  return { perSecond, p50: find(0.5), p99: find(0.99) } satisfies PathResult;
}

const deployment = new MeasuredDeployment();
try {
  await deployment.open(['s1'], { hosts: 8, serviceMs: 0 });
  const gateway = await deployment.startGateway('fair');
  const [direct = ''] = deployment.services[0]?.addresses ?? [];
  for (const concurrency of [1, CONCURRENCY]) {
    for (const [name, address] of Object.entries({ direct, gateway })) {
      await measureCalls(address, { concurrency, ms: WARM_UP_MS });
      const result = await measureCalls(address, { concurrency, ms: DURATION_MS });
      console.log(JSON.stringify({ name, concurrency, ...result }));
    }
  }
} finally {
  await deployment.close();
}
