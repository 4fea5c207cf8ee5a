import type { FleetFollower, FollowerStatus } from './FleetFollower.js';
import type { FleetKeeper, FleetPosition } from './FleetReplica.js';
import type { ProcessStatus } from './ProcessStatus.js';

/** The process that is asked and the actors that know. */
export interface ProcessStatusOptions extends Pick<
  ProcessStatus,
  'session' | 'role' | 'dataCentre'
> {
  keeper: FleetKeeper;
  follower: FleetFollower;
}

/** Reads the state of a process; with a revision also when it folded that change. */
export async function readProcessStatus(
  options: ProcessStatusOptions,
  revision?: number,
): Promise<ProcessStatus> {
  const { keeper, follower, session, role, dataCentre } = options;
  const position = await keeper.ask<FleetPosition>((reply) => ({
    type: 'position',
    revision,
    reply,
  }));
  const status = await follower.ask<FollowerStatus>((reply) => ({ type: 'status', reply }));
  const { time, ...rest } = position;
  return { session, role, dataCentre, ...rest, ...status };
}
