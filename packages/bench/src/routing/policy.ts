/** @fileoverview Policy parts that a modelled router uses. */
import {
  type AdmissionOptions,
  type BackendChoiceOptions,
  defaultAdmissionCapacityOptions,
  type KvTransferOptions,
} from '@dogwoodtrestle/routing';

/** How a router chooses a server. */
export type ChoiceName = 'policy' | 'randomOfTwo' | 'leastInFlight';

/** Policy of a modelled router. */
export interface RouterPolicy {
  choice: ChoiceName;
  choiceOptions: Partial<BackendChoiceOptions>;
  /** Whether requests pass admission with priorities or are sent at once. */
  admission: boolean;
  admissionOptions: Partial<AdmissionOptions>;
  /** Admitted requests per server slot. */
  admissionHeadroom: number;
  retryBudget: boolean;
  outlierDetection: boolean;
  slowStart: boolean;
  hedging: boolean;
  /** KV cache import; undefined turns it off. */
  kvTransfer?: Partial<KvTransferOptions>;
  /** Whether priorities are passed to the engines. */
  enginePriorities: boolean;
}

/** All parts of the policy except hedging and KV cache import. */
export const fullPolicy: RouterPolicy = {
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

/** A router that only chooses a server, without any other policy part. */
export function baselinePolicy(choice: ChoiceName): RouterPolicy {
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
