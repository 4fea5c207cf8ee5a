import { HostHealth, type HealthSignal } from './HostHealth.js';
import type { UpstreamHost } from './UpstreamHost.js';

interface RotationEntry {
  host: string;
  address: string;
  /** Number of jobs that may run at the same time; each needs a slot and a connection. */
  slots: number;
  running: number;
  health: HostHealth;
  /** Whether the host is in the current view. */
  isInView: boolean;
}

/** A slot taken on a host. A probe is the single job that an ejected host gets after a delay. */
export interface HostSlot {
  host: string;
  isProbe: boolean;
}

/** The result of the run that used a slot, and when it ended. */
export interface SlotRelease {
  signal: HealthSignal;
  now: number;
}

/**
 * Balances the jobs of a service over its hosts by load, within the shares. Skips hosts that are
 * ejected, leaving or no longer in the view. Deterministic: the time is passed in as an argument.
 */
export class HostRotation {
  readonly #entries = new Map<string, RotationEntry>();

  #cursor = 0;

  /** Sets the hosts of the view. A host that left the view is kept until its last job has ended. */
  setHosts(hosts: UpstreamHost[]): void {
    const inView = new Set(hosts.map(({ host }) => host));
    this.#entries.forEach((entry) => {
      if (inView.has(entry.host)) return;
      if (entry.running === 0) this.#entries.delete(entry.host);
      else Object.assign(entry, { isInView: false, slots: 0 });
    });
    hosts.forEach(({ host, address, slots, connections }) => {
      const entry = this.#entries.get(host);
      const share = { slots: Math.min(slots, connections), address, isInView: true };
      // A new address means a new process, whose health is unknown.
      if (entry) {
        if (entry.address !== address) entry.health = new HostHealth();
        Object.assign(entry, share);
      } else this.#entries.set(host, { host, running: 0, health: new HostHealth(), ...share });
    });
  }

  /** Whether any host of the view can get a job, now or when a slot becomes free. */
  hasUsableHost(now: number): boolean {
    return [...this.#entries.values()].some(
      ({ isInView, slots, health }) =>
        isInView && slots > 0 && (!health.isEjected || health.canTakeJob(now)),
    );
  }

  /** Counts the slots of the hosts that may get jobs. */
  countSlots(now: number): number {
    let slots = 0;
    this.#entries.forEach((entry) => {
      if (!entry.health.isEjected) slots += entry.slots;
      else if (entry.slots > 0 && entry.health.canTakeJob(now)) slots += 1;
      else slots += Math.min(entry.running, entry.slots);
    });
    return slots;
  }

  /** Whether a job can be started now on a host that is not in `tried`. */
  hasFreeSlot(now: number, tried?: ReadonlySet<string>): boolean {
    return [...this.#entries.values()].some((entry) => HostRotation.#canTakeJob(entry, now, tried));
  }

  /** Takes a slot on the least loaded host. Hosts that are due for a probe come first. */
  takeSlot(now: number, tried?: ReadonlySet<string>): HostSlot | undefined {
    const entries = [...this.#entries.values()];
    let best: RotationEntry | undefined;
    let bestLoad = Infinity;
    this.#cursor += 1;
    entries.forEach((_, index) => {
      // Starting at a different host each time spreads jobs over hosts of equal load.
      const entry = entries[(index + this.#cursor) % entries.length] as RotationEntry;
      if (!HostRotation.#canTakeJob(entry, now, tried)) return;
      const load = entry.health.isEjected ? -1 : entry.running / entry.slots;
      if (load < bestLoad) [best, bestLoad] = [entry, load];
    });
    if (best === undefined) return undefined;
    best.running += 1;
    return { host: best.host, isProbe: best.health.startJob() };
  }

  /** Releases a slot and records the result of its run in the health of the host. */
  releaseSlot(
    { host, isProbe }: HostSlot,
    { signal, now }: SlotRelease,
  ): 'out' | 'back' | undefined {
    const entry = this.#entries.get(host);
    if (entry === undefined) return undefined;
    entry.running -= 1;
    if (!entry.isInView) {
      if (entry.running === 0) this.#entries.delete(host);
      return undefined;
    }
    return entry.health.record(signal, { now, mayEject: this.#canEjectAnother(), isProbe });
  }

  /** Returns the hosts that left the view with jobs running, and whether any exceeds its share. */
  readLoad(): { leaving: string[]; isAboveShare: boolean } {
    const busy = [...this.#entries.values()].filter(({ running }) => running > 0);
    return {
      leaving: busy.filter(({ isInView }) => !isInView).map(({ host }) => host),
      isAboveShare: busy.some(({ isInView, running, slots }) => isInView && running > slots),
    };
  }

  /** Whether one more host may be ejected: at most half of the hosts may be ejected at a time. */
  #canEjectAnother(): boolean {
    const inView = [...this.#entries.values()].filter(({ isInView }) => isInView);
    const out = inView.filter(({ health }) => health.isEjected).length;
    return out + 1 <= Math.floor(inView.length / 2);
  }

  static #canTakeJob(entry: RotationEntry, now: number, tried?: ReadonlySet<string>): boolean {
    return entry.running < entry.slots && entry.health.canTakeJob(now) && !tried?.has(entry.host);
  }
}
