/** Permission to run the tasks of a step on a host. */
export interface Permission {
  hostId: string;
  ticket: string;
}

/** What the advice service answered. */
export interface Advice {
  allowed: Permission[];
  /** How long the permissions are valid, in ms from the answer. */
  validityMs: number;
}

/** The service that knows which hosts may run a step of a queue with advice. */
export abstract class AdviceService {
  /**
   * Asks which of these hosts may run a step.
   *
   * @param step `JOB.OCCURRENCE.STEP`.
   * @param hostIds At most 100; the answer takes longer with each.
   * @throws when the service did not answer or refused.
   */
  abstract askAdvice(step: string, hostIds: readonly string[]): Promise<Advice>;

  abstract close(): Promise<void>;
}
