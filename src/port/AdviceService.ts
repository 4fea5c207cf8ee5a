/** Authorization to run the tasks of a step on a host. */
export interface Permission {
  hostId: string;
  /** Token that every start order under this permission carries. */
  ticket: string;
}

/** Response of the advice service. */
export interface Advice {
  allowed: Permission[];
  /** Validity of the permissions in ms, counted from the response. */
  validityMs: number;
}

/** Options of a request for advice. */
export interface AdviceOptions {
  /** Time limit in ms for the response. */
  timeoutMs: number;
}

/** The service that decides which hosts may run a step, for queues that require its advice. */
export abstract class AdviceService {
  /**
   * Requests which of the given hosts may run a step.
   *
   * @param step `JOB.OCCURRENCE.STEP`.
   * @param hostIds At most 100 identifiers; the response time grows with their number.
   * @throws if the service does not respond or rejects the request.
   */
  abstract askAdvice(
    step: string,
    hostIds: readonly string[],
    options: AdviceOptions,
  ): Promise<Advice>;

  abstract close(): Promise<void>;
}
