/** @fileoverview Public API of the package. */
export {EdgeNode} from './edgeNode.js';
export {
  defaultEdgeOptions,
  type EdgeStartOptions,
  type EdgeOptions,
  type EdgeTuning,
} from './edgeOptions.js';
export {
  type ResponseHead,
  type CallerRequest,
  type ForwardInstructions,
  type GenerationParameters,
  type PromptPart,
  type StatedLimit,
  type WireCodec,
} from './wireCodec.js';
