import { z } from 'zod';
import type { Fleet } from './Fleet.js';

/** A maintenance wave in progress: its hosts by phase. */
export const WaveReport = z.object({
  wave: z.string(),
  granted: z.array(z.string()),
  maintenance: z.array(z.string()),
});
export type WaveReport = z.infer<typeof WaveReport>;

/** Describes the maintenance waves that have hosts granted or in maintenance. */
export function describeWaves(fleet: Fleet): WaveReport[] {
  const waves = new Map<string, WaveReport>();
  [...fleet.data.hostStates].forEach(([host, { phase, wave = '' }]) => {
    if (phase !== 'granted' && phase !== 'maintenance') return;
    const report = waves.get(wave) ?? { wave, granted: [], maintenance: [] };
    report[phase].push(host);
    waves.set(wave, report);
  });
  return [...waves.values()].sort((a, b) => (a.wave < b.wave ? -1 : 1));
}
