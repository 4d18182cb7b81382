/** @fileoverview Mistakes of operation that instances find in each other. */
import {type InstanceRecord, peerAddressOf} from './instanceRecord.js';

export type MembershipFindingCode =
  'wrongCluster' | 'duplicateName' | 'duplicateAddress' | 'clockOff';

export interface MembershipFinding {
  code: MembershipFindingCode;
  /** Name of the instance that the finding is about. */
  instance: string;
  /** Its peer address. */
  place: string;
  message: string;
}

/** A finding about the instance that made the record. */
export function findingOf(
  code: MembershipFindingCode,
  record: InstanceRecord,
  message: string,
): MembershipFinding {
  const {name: instance} = record;
  return {code, instance, place: peerAddressOf(record), message};
}
