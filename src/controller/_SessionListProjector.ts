import { FleetProjector, type Fleet, type SessionState } from '../fleet/mod.js';

/** Lists the open sessions of both roles in the keeper's turn. */
export class SessionListProjector extends FleetProjector {
  readonly #reply: (sessions: SessionState[]) => void;

  constructor(reply: (sessions: SessionState[]) => void) {
    super();
    this.#reply = reply;
  }

  override project(fleet: Fleet): void {
    const sessions = [
      ...fleet.data.listSessions('controller'),
      ...fleet.data.listSessions('gateway'),
    ];
    this.#reply(sessions.map((one) => ({ ...one })));
  }
}
