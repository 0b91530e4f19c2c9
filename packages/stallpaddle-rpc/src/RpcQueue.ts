/**
 * Messages for a standing stream: whoever writes adds them, the stream takes them as they come.
 */
export class RpcQueue<Message> {
  private ended = false;
  private messages: Message[] = [];
  private wake = (): void => {};

  /**
   * Adds a message.
   *
   * @param message the message
   */
  add(message: Message): void {
    this.messages.push(message);
    this.wake();
  }

  /** Ends the stream once all messages were taken. */
  end(): void {
    this.ended = true;
    this.wake();
  }

  /** All messages, until the end. */
  async *take(): AsyncGenerator<Message> {
    for (;;) {
      const {messages} = this;
      this.messages = [];
      yield* messages;
      if (this.messages.length > 0) {
        continue;
      }
      if (this.ended) {
        return;
      }
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }
}
