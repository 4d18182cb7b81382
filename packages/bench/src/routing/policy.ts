/** @fileoverview Which parts of the policy a modelled router uses. */
import {
  type AdmissionOptions,
  type BackendChoiceOptions,
  defaultAdmissionCapacityOptions,
  type KvTransferOptions,
} from '@dogwoodtrestle/routing';

export type ChoiceName = 'policy' | 'randomOfTwo' | 'leastInFlight';

export interface Policy {
  choice: ChoiceName;
  choiceOptions: Partial<BackendChoiceOptions>;
  /** Admission with priorities; otherwise everything is sent at once. */
  admission: boolean;
  admissionOptions: Partial<AdmissionOptions>;
  /** Admitted requests per place of the servers. */
  admissionHeadroom: number;
  retryBudget: boolean;
  outlierDetection: boolean;
  slowStart: boolean;
  hedging: boolean;
  /** Whether KV caches are imported, and over what link. */
  kvTransfer?: Partial<KvTransferOptions>;
  /** Whether priorities are passed to the engines. */
  enginePriorities: boolean;
}

export const fullPolicy: Policy = {
  choice: 'policy',
  choiceOptions: {},
  admission: true,
  admissionOptions: {},
  admissionHeadroom: defaultAdmissionCapacityOptions.headroom,
  retryBudget: true,
  outlierDetection: true,
  slowStart: true,
  hedging: false,
  enginePriorities: true,
};

/** A plain router: the choice alone, nothing that holds work back. */
export function baselinePolicy(choice: ChoiceName): Policy {
  return {
    choice,
    choiceOptions: {},
    admission: false,
    admissionOptions: {},
    admissionHeadroom: 1,
    retryBudget: false,
    outlierDetection: false,
    slowStart: false,
    hedging: false,
    enginePriorities: false,
  };
}
