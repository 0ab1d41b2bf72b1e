"""Makes images ready, each once for all tasks that wait for it."""

from __future__ import annotations

from collections.abc import Callable, Collection

from tidebend.agent.clock import steady_time
from tidebend.agent.images import Images
from tidebend.agent.tasks import FETCHING, Task


class ImagePreparer:
    """The preparations that are under way. For the worker's thread alone."""

    def __init__(self, images: Images, launch: Callable[[list[Task]], None]) -> None:
        """`launch` starts the processes of tasks."""
        self._images = images
        self._launch = launch
        self._under_way: dict[str, Task] = {}  # image -> the task that makes it ready

    def has_image(self, task: Task, used_images: set[str]) -> bool:
        """Whether a task's image is ready; its preparation isn't begun here. `used_images` are kept."""
        description = task.known_description
        if not description.prepare or not description.image:
            return True
        if not self._images.ready(description.image):
            return False
        self._images.used(description.image, used_images)
        return True

    def begin(self, task: Task) -> Task | None:
        """Have a task's image made ready unless that is under way; the preparing task if that failed at once."""
        image = task.known_description.image
        if image in self._under_way:
            return None
        preparing = Task(task.job, task.index, task.attempt, description=task.description, prepares_image=True)
        self._under_way[image] = preparing
        self._launch([preparing])
        return None if preparing.process is not None else preparing

    def finish(self, preparing: Task) -> bool:
        """Whether the image is ready, after the task that prepared it has ended."""
        image = preparing.known_description.image
        del self._under_way[image]
        if preparing.why != "done":
            return False
        self._images.done(image)
        return True

    def cancel_unwanted(self, tasks: Collection[Task]) -> None:
        """End the preparations of images that none of the tasks waits for any more."""
        wanted = {task.description.image for task in tasks if task.state == FETCHING and task.description is not None}
        for image, preparing in self._under_way.items():
            if image not in wanted and preparing.process is not None and preparing.kill_at is None:
                preparing.kill_at = steady_time()
                preparing.process.kill()

    def forget_all(self) -> None:
        """Forget the preparations, whose processes have been ended."""
        self._under_way.clear()
