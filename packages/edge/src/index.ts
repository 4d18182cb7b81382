/** @fileoverview Public API of the package. */
export {ControlPlaneClient} from './controlPlaneClient.js';
export {EdgeNode} from './edgeNode.js';
export {
  defaultEdgeOptions,
  type EdgeStartOptions,
  type EdgeOptions,
  type EdgeTuning,
} from './edgeOptions.js';
export {type RefusalReason} from './refusal.js';
export {ReplyCounter} from './replyCounter.js';
export {
  type RouterIncarnation,
  RouterIdentity,
  type RouterIdentityOptions,
} from './routerIdentity.js';
export {ServerPool} from './serverPool.js';
export {StreamOrigins} from './streamOrigins.js';
export {matchRequest} from './viewDecision.js';
export {
  type ResponseHead,
  type CallerRequest,
  type ForwardInstructions,
  type GenerationParameters,
  type PromptPart,
  type StatedLimit,
  type WireCodec,
} from './wireCodec.js';
