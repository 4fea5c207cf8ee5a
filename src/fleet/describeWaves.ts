import { z } from 'zod';
import { describeHost, type HostDescription } from './describeHost.js';
import type { Fleet } from './Fleet.js';

/**
 * Progress of a host in a wave. A `granted` host is drained and its maintenance has not started.
 */
export const WaveStep = z.enum(['draining', 'granted', 'away']);
export type WaveStep = z.infer<typeof WaveStep>;

/** A maintenance wave in progress and its hosts. Times are in milliseconds. */
export const WaveReport = z.object({
  wave: z.string(),
  pool: z.string(),
  hosts: z.array(
    z.object({
      host: z.string(),
      step: WaveStep,
      /** When the maintenance of the host was granted or started. */
      since: z.number(),
      /** What the host waits for. */
      waitsFor: z.string(),
      isLate: z.boolean(),
    }),
  ),
});
export type WaveReport = z.infer<typeof WaveReport>;

function findStep({ state, waitsFor }: HostDescription): WaveStep {
  if (state.phase === 'maintenance') return 'away';
  return waitsFor.length > 0 ? 'draining' : 'granted';
}

function explainStep({ state, waitsFor }: HostDescription): string {
  if (state.phase === 'maintenance') {
    return state.status === 'live' ? 'the end of its maintenance' : 'its return from the reboot';
  }
  return waitsFor.length > 0 ? `drain by ${waitsFor.join(' ')}` : 'its start';
}

/**
 * Describes the maintenance waves with hosts that are granted or in maintenance.
 *
 * @param now Milliseconds since the Unix epoch.
 * @example
 * ```ts
 * describeWaves(fleet, now)[0]?.hosts.filter(({ step }) => step === 'away');
 * ```
 */
export function describeWaves(fleet: Fleet, now: number): WaveReport[] {
  const waves = new Map<string, WaveReport>();
  fleet.data.hostStates.forEach(({ phase, pool = '', wave = '' }, name) => {
    if (phase !== 'granted' && phase !== 'maintenance') return;
    const described = describeHost(fleet, { name, now });
    if (described === undefined) return;
    const key = `${pool}/${wave}`;
    const report = waves.get(key) ?? { wave, pool, hosts: [] };
    waves.set(key, report);
    report.hosts.push({
      host: name,
      step: findStep(described),
      since: described.state.phaseSince,
      waitsFor: explainStep(described),
      isLate: described.lateReason !== undefined,
    });
  });
  return [...waves].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, report]) => report);
}
