/** @fileoverview Misconfigurations that instances detect in each other. */
import {type InstanceRecord, peerAddressOf} from './instanceRecord.js';

/** Kind of misconfiguration; shown to operators. */
export type MembershipFindingCode =
  'wrongCluster' | 'duplicateName' | 'duplicateAddress' | 'clockOff';

/** A misconfigured instance; shown to operators as JSON. */
export interface MembershipFinding {
  code: MembershipFindingCode;
  /** Name of the instance. */
  instance: string;
  /** Its peer address. */
  place: string;
  message: string;
}

/** Creates a finding about the instance that published the record. */
export function findingOf(
  code: MembershipFindingCode,
  record: InstanceRecord,
  message: string,
): MembershipFinding {
  const {name: instance} = record;
  return {code, instance, place: peerAddressOf(record), message};
}
