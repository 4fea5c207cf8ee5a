import type { FleetFollower, FollowerStatus } from './FleetFollower.js';
import type { FleetReplica, FleetPosition } from './FleetReplica.js';
import type { ProcessStatus } from './ProcessStatus.js';

/** The process to describe and the actors that provide its status. */
export interface ProcessStatusOptions extends Pick<
  ProcessStatus,
  'session' | 'role' | 'dataCentre'
> {
  replica: FleetReplica;
  follower: FleetFollower;
}

/**
 * Reads the status of a process and, if a revision is given, when the process applied that change.
 */
export async function readProcessStatus(
  options: ProcessStatusOptions,
  revision?: number,
): Promise<ProcessStatus> {
  const { replica, follower, session, role, dataCentre } = options;
  const position = await replica.ask<FleetPosition>((reply) => ({
    type: 'position',
    revision,
    reply,
  }));
  const status = await follower.ask<FollowerStatus>((reply) => ({ type: 'status', reply }));
  const { time, ...rest } = position;
  return { session, role, dataCentre, ...rest, ...status };
}
