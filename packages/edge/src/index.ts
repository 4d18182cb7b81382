/** @fileoverview Face of the package; see its README. */
export {EdgeNode} from './edgeNode.js';
export {
  defaultEdgeOptions,
  type EdgeStartOptions as EdgeInput,
  type EdgeOptions,
  type EdgeTuning,
} from './edgeOptions.js';
export {
  type ResponseHead as AnswerHead,
  type CallerRequest,
  type ForwardInstructions,
  type GenerationParameters as Generation,
  type PromptPart,
  type WireCodec,
} from './wireCodec.js';
